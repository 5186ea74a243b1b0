//! Keeps the tasks running that an entry needs for as long as it runs.
//!
//! An unexpected error in a task must not end the process, nor leave it running without the task: an
//! entry whose store watch has ended would serve an old configuration without a sign of it.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

use crate::codec::Codec;
use crate::state::Relay;

/// Pause before a task is started again, so that one that fails at once does not use the processor.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Runs the task that `start` returns, and starts it again whenever it panics or ends. Each end is logged
/// and counted.
pub async fn run<C, F>(relay: Arc<Relay<C>>, name: &'static str, mut start: impl FnMut() -> F)
where
    C: Codec,
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let task = AbortOnDropHandle::new(tokio::spawn(start()));
        let reason = match task.await {
            Ok(()) => "it returned".to_owned(),
            Err(error) => error.to_string(),
        };
        relay.metrics.count_task_restart(name);
        log::error!(task = name, reason = reason.as_str(); "task ended unexpectedly and is started again");
        sleep(RESTART_PAUSE).await;
    }
}
