//! The serialized form of a configuration's version.
//!
//! Earlier builds knew version 0 only as "no configuration", and store and send it as such. It
//! keeps that meaning, and a delivered version 0 is a nil, which those builds refuse to read.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::ConfigVersion;

/// Serializes the version of a configuration, or `None` if there is no configuration.
///
/// # Errors
///
/// Returns the errors of the serializer.
pub(super) fn serialize<S: Serializer>(
    version: &Option<ConfigVersion>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    match version {
        None => Some(0),
        Some(0) => None,
        Some(version) => Some(*version),
    }
    .serialize(serializer)
}

/// Deserializes what [`serialize`] produced.
///
/// # Errors
///
/// Returns an error if the input is neither a nil nor a version.
pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<ConfigVersion>, D::Error> {
    Ok(match Option::deserialize(deserializer)? {
        None => Some(0),
        Some(0) => None,
        Some(version) => Some(version),
    })
}
