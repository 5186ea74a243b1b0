//! What admission knows of a service: the capacity of its servers, and the other entries.

use std::time::Duration;

use medlarfall_coordination::dissemination::Count;
use medlarfall_coordination::room::{Capacity, Others};
use medlarfall_coordination::server_load::Estimate;

use crate::admission::Known;
use crate::codec::Codec;

use super::{Backend, Relay};

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
}

impl<C: Codec> Relay<C> {
    /// Returns the streams of the other entries at a server.
    #[must_use]
    pub fn peer_streams(&self, backend: &Backend) -> Count {
        let now = self.clock.now();
        self.view(|view| view.node.streams_at(backend.tag(), now))
    }

    /// Returns what is known of a service. `shared_as` is the name under which entries share its demand.
    #[must_use]
    pub fn known_capacity(&self, service: &str, shared_as: &str, streams: bool) -> Known {
        let now = self.clock.now();
        let memory = self.table().and_then(|table| {
            let service = table.service(service)?;
            u32::try_from(service.memory_tokens).ok()
        });
        self.view(|view| {
            let requests = view.requests(service, now);
            let entries = view.node.others(service, now);
            let others = Others {
                demand: view.node.others_demand(shared_as, now),
                requests,
                entries: view.node.entries(),
                silent: entries.entries > 0 && entries.reporting == 0,
            };
            let backends = view.backends.get(service).into_iter().flatten();
            let usable = backends.filter(|backend| {
                let suspect = backend.load(|load| load.suspect(now));
                !suspect && view.pauses.wait(backend.start(), now).is_zero()
            });
            let parts = usable.map(|backend| {
                backend.estimate(|estimate| {
                    if streams {
                        stream_part(estimate, memory, now)
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
            let time = Duration::try_from_secs_f64(weighted(|part| part.time)).unwrap_or_default();
            Known {
                capacity: current.then_some(Capacity { rate, time }),
                others,
                usual_prompt: weighted(|part| part.prompt),
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
    }
}

/// Usual number of events of a stream, with which a prompt occupies a slot and memory until they are made.
const EVENTS: f64 = 130.0;

/// Returns the streams a second that a server takes: bounded by prompt processing, by slots and by memory.
fn stream_part(estimate: &Estimate, memory: Option<u32>, now: Duration) -> Part {
    let usual = estimate.usual(now);
    let slowness = estimate.slowness(now);
    let prefill = usual.prompt * usual.token * slowness;
    let gap = estimate.event_gap().unwrap_or_default().as_secs_f64();
    let duration = prefill + gap * EVENTS * slowness;
    let by_slots = f64::from(estimate.slots()) / duration.max(1e-6);
    let by_memory = match memory {
        Some(memory) if memory > 0 => {
            f64::from(memory) / (usual.prompt + EVENTS) / duration.max(1e-6)
        }
        _ => f64::INFINITY,
    };
    Part {
        rate: (1.0 / prefill.max(1e-6)).min(by_slots).min(by_memory),
        time: prefill,
        reported: estimate.report_age(now).unwrap_or(Duration::MAX),
        prompt: usual.prompt,
    }
}
