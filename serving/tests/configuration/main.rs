//! Storing declarations and bringing them into force while the store fails.

mod apply;
mod declarations;
mod memory;
