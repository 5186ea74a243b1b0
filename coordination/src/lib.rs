//! Pure coordination state machines.
//!
//! Each state machine takes inputs, the current time and, where it makes random choices, a seeded
//! generator, and returns decisions. None owns a socket, a task or a clock, so a test can drive it
//! through any order of events. Times are [`std::time::Duration`]s since an arbitrary origin and
//! never decrease.

pub mod autoscaling;
pub mod balance;
pub mod canary;
pub mod catch_up;
pub mod claim;
pub mod connections;
pub mod detector;
pub mod dissemination;
pub mod duty;
pub mod ejection;
pub mod evidence;
pub mod fair_queue;
pub mod fencing;
pub mod grants;
pub mod group_outage;
pub mod history;
pub mod journal;
pub mod kept_prompts;
pub mod liveness;
pub mod membership;
pub mod memory;
pub mod pacing;
pub mod placement;
pub mod planned_stop;
pub mod probe_budget;
pub mod propagation;
pub mod quarantine;
pub mod reader_election;
pub mod registry;
pub mod rendezvous;
pub mod resume_token;
pub mod retry_budget;
pub mod revision;
pub mod rollout;
pub mod room;
pub mod routing;
pub mod schedule;
pub mod server_limit;
pub mod server_load;
pub mod server_memory;
pub mod server_pause;
pub mod store_outage;
pub mod true_time;
pub mod usage;
pub mod warmup;
