//! Telling peers of planned stops, so that an entry that is cut off from the store knows them too.
//!
//! What is new to an entry goes to the peers that it knows at once; after that each entry that knows
//! stops exchanges them with one peer now and then, so that the cost of an entry is constant.

use std::net::SocketAddr;

use medlarfall_schema::declaration::Stop;
use rand::seq::IndexedRandom;

use crate::context::Context;
use crate::modules::peers;

/// Tells peers of planned stops, for ever.
pub(super) async fn run(context: &Context) {
    let mut declared = context.stops.declared();
    loop {
        let pause = tokio::time::sleep(context.settings.stops.drain_interval);
        let news = tokio::select! {
            changed = declared.changed() => changed.is_ok(),
            () = pause => false,
        };
        declared.mark_unchanged();
        let stops = context.stops.stored();
        if stops.is_empty() {
            continue;
        }
        let calls = peers(context, news)
            .into_iter()
            .map(|peer| exchange(context, peer, stops.clone()));
        futures::future::join_all(calls).await;
    }
}

/// Returns the peers to tell: all that are known if there is news, or else one of them.
fn peers(context: &Context, news: bool) -> Vec<SocketAddr> {
    let members = context.membership.view();
    let members = members.borrow();
    let known: Vec<SocketAddr> = members.up().map(|member| member.address).collect();
    if news {
        return known;
    }
    known
        .choose(&mut rand::rng())
        .copied()
        .into_iter()
        .collect()
}

/// Tells a peer of stops and takes those that it knows.
async fn exchange(context: &Context, peer: SocketAddr, stops: Vec<Stop>) {
    let call = context
        .peers
        .call(peer, peers::CALL_TIMEOUT, |client, call| async move {
            client.stops(call, stops).await
        });
    match call.await {
        Ok(known) => {
            context.stops.record(known, context.clock);
        }
        Err(error) => log::debug!(error:% = error; "a peer could not be told of planned stops"),
    }
}
