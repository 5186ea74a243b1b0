//! What the daemons share.
//!
//! Nothing here may depend on `fastrace`: its clock measures the processor's counter before `main`
//! runs, which takes seconds of processor time where the wall clock is not driven by that counter.

pub mod budget;
pub mod clock;
pub mod http;
pub mod logging;
pub mod store;
