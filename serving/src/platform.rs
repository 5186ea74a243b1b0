//! The platform: a key-value service with compare-and-swap, leases and watches, and the instance
//! list. [`http`] is the adapter to the platform's protocol; another platform costs one adapter.

pub use medlarfall_runtime::store::{
    Change, Changes, Error, Instance, Item, Lease, Listing, Store,
};

pub mod http;
