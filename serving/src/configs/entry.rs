//! Name and location of an entry.

use std::sync::Arc;

use medlarfall_schema::settings as raw;

use super::value::{self, Problem};

/// Section `[entry]`.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Unique name of this entry instance.
    pub name: Arc<str>,
    /// Failure domain that this entry runs in.
    pub failure_domain: Arc<str>,
    /// Region that this entry runs in.
    pub region: Arc<str>,
}

impl TryFrom<raw::Entry> for Entry {
    type Error = Problem;

    fn try_from(raw: raw::Entry) -> Result<Self, Problem> {
        Ok(Self {
            name: value::name("entry.name", raw.name)?,
            failure_domain: value::name("entry.failure_domain", raw.failure_domain)?,
            region: value::name("entry.region", raw.region)?,
        })
    }
}
