//! Building blocks that the daemons share: a memory budget, a clock, an HTTP client, logging and
//! the interface to the platform's store.
//!
//! Nothing here may depend on `fastrace`: it calibrates its clock against the processor's counter
//! before `main` runs, which takes seconds of processor time on machines whose wall clock is not
//! driven by that counter.

pub mod budget;
pub mod clock;
pub mod http;
pub mod logging;
pub mod store;
