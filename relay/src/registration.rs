//! Registers this entry in the store as a contact of its failure domain, under a lease.
//!
//! An entry that starts finds the others through the contacts; all else is known from messages. A few
//! contacts for each failure domain are enough, so most entries do not register.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::dissemination::Contact;
use medlarfall_runtime::store::{Change, Error, Lease, Store};
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::codec::Codec;
use crate::metrics::StoreCall;
use crate::state::Relay;
use crate::store_watch;

/// Lease of a registration; it expires if the entry does not renew it.
const LEASE_TIME: Duration = Duration::from_secs(20);

/// Time between renewals: three fit into a lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(6);

/// Time between two checks whether this entry must register.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Pause after a failed store call.
const RETRY_PAUSE: Duration = Duration::from_secs(3);

/// Longest wait for a response of the store.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time by which an entry with a slow link registers later than one with the fastest link when all
/// start at once: the fast ones are to be the contacts.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(300);

/// Speed from which a link counts as the fastest, in Mbit/s.
const FAST_LINK_MBPS: f64 = 1_000.0;

/// Jitter, so that each entry sees the registrations of those before it.
const JITTER: Duration = Duration::from_millis(200);

/// A lease, and the era of the store that was known when it was granted; 0 if none was.
#[derive(Clone, Copy, Debug)]
struct Granted {
    lease: Lease,
    era: u64,
}

/// Value of a registration.
#[derive(Debug, Deserialize, Serialize)]
struct Value {
    address: SocketAddr,
    failure_domain: Arc<str>,
    link_mbps: u32,
}

/// Decodes a registration: the failure domain of the entry and how to reach it.
///
/// # Errors
///
/// Returns an error if the value is not a registration.
pub fn decode(entry: &Arc<str>, value: &str) -> Result<(Arc<str>, Contact), serde_json::Error> {
    let value: Value = serde_json::from_str(value)?;
    let contact = Contact {
        entry: Arc::clone(entry),
        address: value.address,
        link_mbps: value.link_mbps,
    };
    Ok((value.failure_domain, contact))
}

/// Returns the time that an entry waits before it registers.
fn first_delay(link_mbps: u32) -> Duration {
    let slowness = 1.0 - f64::from(link_mbps.max(1)).log2() / FAST_LINK_MBPS.log2();
    let jitter = JITTER.mul_f64(rand::rng().random_range(0.0..=1.0));
    SLOW_LINK_DELAY.mul_f64(slowness.clamp(0.0, 1.0)) + jitter
}

/// Waits for a time, or until an era other than `era` is known; returns whether one is.
async fn pause_in_era<C: Codec>(relay: &Relay<C>, era: u64, time: Duration) -> bool {
    let mut changed = relay.changed.subscribe();
    let restored = changed.wait_for(|_| relay.store_era() != era);
    timeout(time, restored).await.is_ok()
}

/// Keeps this entry registered for as long as its failure domain needs it as a contact.
pub async fn run<C: Codec, S: Store>(relay: Arc<Relay<C>>, store: S, address: SocketAddr) {
    let mut lease: Option<Granted> = None;
    sleep(first_delay(relay.settings.link_mbps)).await;
    loop {
        if !relay.must_register() {
            // The lease of an entry that is no longer needed expires.
            lease = None;
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        let step = timeout(RESPONSE_TIMEOUT, renew(&relay, &store, address, lease)).await;
        let pause = match step {
            Ok(Ok(Some(renewed))) => {
                lease = Some(renewed);
                RENEWAL_INTERVAL
            }
            Ok(Ok(None)) => CHECK_INTERVAL,
            Ok(Err(Error::LeaseEnded)) => {
                lease = None;
                RETRY_PAUSE
            }
            Ok(Err(error)) => {
                log::info!(reason = error.to_string().as_str(); "registration of this entry's address not renewed");
                RETRY_PAUSE
            }
            Err(_) => RETRY_PAUSE,
        };
        let era = lease.map_or_else(|| relay.store_era(), |lease| lease.era);
        if pause_in_era(&relay, era, pause).await {
            // The store lost the lease, or grants it to another.
            lease = None;
            sleep(first_delay(relay.settings.link_mbps)).await;
        }
    }
}

/// Renews the lease, or registers under a new one. Returns `None` if the registrations that others
/// made meanwhile are enough.
async fn renew<C: Codec, S: Store>(
    relay: &Relay<C>,
    store: &S,
    address: SocketAddr,
    lease: Option<Granted>,
) -> Result<Option<Granted>, Error> {
    if let Some(granted) = lease {
        relay.metrics.count_store_call(StoreCall::Renewal);
        store.renew(granted.lease).await?;
        return Ok(Some(granted));
    }
    let key = relay.codec.entry_key(&relay.settings.entry);
    let prefix = relay.codec.entry_key("");
    relay.metrics.count_store_call(StoreCall::CachedList);
    let listing = store.list_cached(&prefix).await?;
    let own = listing.items.iter().find(|item| item.key == key);
    let mut known_revision = own.map_or(0, |own| own.revision);
    for item in listing.items {
        store_watch::apply(relay, listing.era, &item.into());
    }
    if !relay.must_register() {
        return Ok(None);
    }
    let granted_in = relay.store_era();
    relay.metrics.count_store_call(StoreCall::Lease);
    let lease = store.grant(LEASE_TIME).await?;
    let value = Value {
        address,
        failure_domain: Arc::clone(&relay.settings.failure_domain),
        link_mbps: relay.settings.link_mbps,
    };
    let value = serde_json::to_string(&value).unwrap_or_default();
    loop {
        let era = relay.store_era();
        relay.metrics.count_store_call(StoreCall::Registration);
        let writing = store.put(&key, value.clone(), known_revision, Some(lease));
        match writing.await {
            Err(Error::Conflict { current }) => {
                known_revision = current.map_or(0, |current| current.revision);
            }
            written => {
                let change = Change {
                    key,
                    value: Some(value),
                    revision: written?,
                };
                store_watch::apply(relay, era, &change);
                return Ok(Some(Granted {
                    lease,
                    era: granted_in,
                }));
            }
        }
    }
}
