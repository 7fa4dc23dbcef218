//! The key of a non-idempotent request.

use std::{error::Error, fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use super::ClaimEpoch;

/// Identifies a non-idempotent request. Its text is the epoch from the look-up's
/// response, a dash, and a token that the caller chooses.
///
/// The epoch makes it safe to drop old claims: once an epoch's claims are
/// dropped, a used key can't be distinguished from an unused one, so no request with a
/// key of that epoch is run.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    /// The epoch in which the key was issued.
    pub epoch: ClaimEpoch,
    /// The token that the caller chose.
    pub token: String,
}

const TOKEN_MAX_BYTES: usize = 128;

/// Represents the reason why a key can't be parsed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyError {
    /// The text does not begin with an epoch and a dash.
    NoEpoch,
    /// The token is empty, too long, or not printable ASCII.
    Token,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoEpoch => f.write_str(
                "the key must begin with the look-up's `key_epoch` and a dash, as in `12-order-77`",
            ),
            Self::Token => write!(
                f,
                "what follows the epoch must be 1 to {TOKEN_MAX_BYTES} printable ASCII characters"
            ),
        }
    }
}

impl Error for KeyError {}

impl FromStr for ClaimKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (epoch, token) = text.split_once('-').ok_or(KeyError::NoEpoch)?;
        let epoch = epoch.parse().map_err(|_| KeyError::NoEpoch)?;
        let is_printable = token.bytes().all(|byte| byte.is_ascii_graphic());
        if token.is_empty() || token.len() > TOKEN_MAX_BYTES || !is_printable {
            return Err(KeyError::Token);
        }
        Ok(Self { epoch, token: token.to_owned() })
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.epoch, self.token)
    }
}
