//! Access to the platform: a key-value store with compare-and-swap, leases and watches, and a list of
//! the registered instances. [`http`] implements [`Store`] over the platform's HTTP protocol; another
//! platform needs another implementation.

pub use medlarfall_runtime::store::{
    Change, Changes, Error, Instance, Item, Lease, Listing, Store,
};

pub mod http;
