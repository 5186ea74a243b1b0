//! Exchange of planned stops between peers, so that entries that cannot reach the store have them too.
//!
//! An entry sends changed stops to all peers that are up immediately. Otherwise an entry that has
//! any stops exchanges them with one random peer at each interval, so that the cost per entry is
//! constant.

use std::net::SocketAddr;

use medlarfall_schema::declaration::Stop;
use rand::seq::IndexedRandom;

use crate::context::Context;
use crate::modules::peers;

/// Exchanges planned stops with peers; never returns.
pub(super) async fn run(context: &Context) {
    let mut declared = context.stops.declared();
    loop {
        let pause = tokio::time::sleep(context.settings.stops.drain_interval);
        let changed = tokio::select! {
            result = declared.changed() => result.is_ok(),
            () = pause => false,
        };
        declared.mark_unchanged();
        let stops = context.stops.stored();
        if stops.is_empty() {
            continue;
        }
        let calls = peers(context, changed)
            .into_iter()
            .map(|peer| exchange(context, peer, stops.clone()));
        futures::future::join_all(calls).await;
    }
}

/// Returns the peers to exchange stops with: all that are up after a change, or else a random one.
fn peers(context: &Context, changed: bool) -> Vec<SocketAddr> {
    let members = context.membership.view();
    let members = members.borrow();
    let up: Vec<SocketAddr> = members.up().map(|member| member.address).collect();
    if changed {
        return up;
    }
    up.choose(&mut rand::rng()).copied().into_iter().collect()
}

/// Sends stops to a peer and records those that it returns.
async fn exchange(context: &Context, peer: SocketAddr, stops: Vec<Stop>) {
    let call = context
        .peers
        .call(peer, peers::CALL_TIMEOUT, |client, call| async move {
            client.stops(call, stops).await
        });
    match call.await {
        Ok(stops) => {
            context.stops.record(stops, context.clock);
        }
        Err(error) => log::debug!(error:% = error; "exchanging planned stops with a peer failed"),
    }
}
