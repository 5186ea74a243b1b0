//! What admission knows of a service: the capacity of its servers, and the other entries.

use std::time::Duration;

use medlarfall_coordination::dissemination::Count;
use medlarfall_coordination::room::{Capacity, Others};
use medlarfall_coordination::server_load::Estimate;

use crate::admission::Known;
use crate::codec::Codec;

use super::Relay;

/// Age up to which a server's report counts, while no other entry says that the service is full.
const REPORT_VALIDITY: Duration = Duration::from_secs(2);

/// The same while others say so: an entry whose requests are all rejected gets no reports itself.
const SHARED_VALIDITY: Duration = Duration::from_secs(10);

/// Capacity of one server.
struct Part {
    /// Requests a second.
    rate: f64,
    /// Time of a request, in seconds.
    time: f64,
    reported: Duration,
    prompt: f64,
    /// Wait of a stream, in seconds.
    wait: f64,
}

impl<C: Codec> Relay<C> {
    /// Returns what is known of a service. `shared_as` is the name under which entries share its demand.
    #[must_use]
    pub fn known_capacity(&self, service: &str, shared_as: &str, streams: bool) -> Known {
        let now = self.clock.now();
        let memory = self.table().and_then(|table| {
            let service = table.service(service)?;
            u32::try_from(service.memory_tokens).ok()
        });
        self.view(|view| {
            let (own, all) = view.requests(service, now);
            let window = self.settings.retries.window.as_secs_f64().max(1.0);
            let entries = view.node.others(service, now);
            let others = Others {
                demand: view.node.others_demand(shared_as, now),
                rate: f64::from(all.saturating_sub(own)) / window,
                entries: view.node.entries(),
                silent: entries.entries > 0 && entries.reporting == 0,
            };
            let backends = view.backends.get(service).into_iter().flatten();
            let usable = backends.filter(|backend| {
                let suspect = backend.load(|load| load.suspect(now));
                !suspect && view.pauses.wait(backend.start(), now).is_zero()
            });
            let parts = usable.map(|backend| {
                let peers = view.node.streams_at(backend.tag(), now);
                backend.estimate(|estimate| {
                    if streams {
                        stream_part(estimate, memory, peers, now)
                    } else {
                        call_part(estimate, now)
                    }
                })
            });
            let parts: Vec<Part> = parts.collect();
            let rate: f64 = parts.iter().map(|part| part.rate).sum();
            let weighted = |value: fn(&Part) -> f64| -> f64 {
                let sum: f64 = parts.iter().map(|part| value(part) * part.rate).sum();
                sum / rate.max(1e-9)
            };
            let validity = if others.demand.is_empty() {
                REPORT_VALIDITY
            } else {
                SHARED_VALIDITY
            };
            let current = parts.iter().any(|part| part.reported < validity);
            let seconds = |seconds| Duration::try_from_secs_f64(seconds).unwrap_or_default();
            let time = seconds(weighted(|part| part.time));
            Known {
                capacity: current.then_some(Capacity { rate, time }),
                others,
                usual_prompt: weighted(|part| part.prompt),
                wait: (streams && current).then(|| seconds(weighted(|part| part.wait))),
            }
        })
    }
}

fn call_part(estimate: &Estimate, now: Duration) -> Part {
    let rate = estimate.throughput(now);
    Part {
        rate,
        time: f64::from(estimate.slots()) / rate.max(1e-9),
        reported: estimate.report_age(now).unwrap_or(Duration::MAX),
        prompt: 0.0,
        wait: 0.0,
    }
}

/// Returns the streams a second that a server takes: bounded by prompt processing, by slots and by memory.
/// The duration of a request at the server is that of a whole stream.
fn stream_part(estimate: &Estimate, memory: Option<u32>, peers: Count, now: Duration) -> Part {
    let usual = estimate.usual(now);
    let prefill = usual.prompt * usual.token * estimate.slowness(now);
    let by_slots = estimate.throughput(now);
    let by_memory = match memory {
        Some(memory) if memory > 0 => {
            let streams = f64::from(memory) / usual.prompt.max(1.0);
            by_slots * streams / f64::from(estimate.slots())
        }
        _ => f64::INFINITY,
    };
    // Until a stream has had events, the speed of prompt processing is not known.
    let measured = estimate.event_gap().is_some();
    let reported = estimate.report_age(now).filter(|_| measured);
    Part {
        rate: (1.0 / prefill.max(1e-6)).min(by_slots).min(by_memory),
        time: prefill,
        reported: reported.unwrap_or(Duration::MAX),
        prompt: usual.prompt,
        wait: estimate.tokens_ahead(peers, now) * usual.token * estimate.slowness(now),
    }
}
