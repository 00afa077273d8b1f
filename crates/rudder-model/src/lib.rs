//! The words every other crate speaks: ids, configuration objects with labels and selectors, rates,
//! refusals, and the counters that check the promises at run time.
//!
//! Nothing here does I/O or keeps time; every type can be sent between processes with `serde`.
#![deny(missing_docs, unsafe_code)]

pub mod id;
pub mod label;
pub mod object;
pub mod promise;
pub mod rate;
pub mod refusal;

pub use id::{
    Born, ClassId, ContentTag, Digest, EndpointId, EndpointTag, HallId, InstanceId, ModelId, OrgId, OrgTag, PlaceTag,
    RegionId, RequestId, ServiceTag, ShareTag, Start,
};
pub use id::{content_tag, part_tag};
pub use label::{Labels, Match};
pub use object::{Class, Endpoint, EndpointKind, Instance, Kind, Limits, Mark, Object, Organisation, Selector};
pub use promise::{Promise, Promises};
pub use rate::RequestRate;
pub use refusal::{Ran, Refusal, RefusalCode};
