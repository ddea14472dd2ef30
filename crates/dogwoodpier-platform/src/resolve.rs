//! Writes that, if their response is lost, find out their outcome by reading the object.

use serde_json::Value;

use crate::client::Client;
use crate::client::Precondition;
use crate::client::PutOutcome;
use crate::error::Error;
use crate::error::Result;
use crate::wire::Object;

/// Field of a value that identifies the write, see [`Client::put_resolved`].
pub const WRITE_ID_FIELD: &str = "write_id";

/// Number of attempts after which a write whose outcome is still unknown is reported as such.
const MAX_ATTEMPTS: u32 = 3;

impl Client {
    /// Writes an object whose value has a random `write_id`. If the response is lost, reads the
    /// object to find out whether the write took effect.
    ///
    /// Returns `Written` also if only the read shows that the write took effect. Returns `Conflict`
    /// if the object now has the value of another write; if a response was lost before, this write
    /// may have been in effect in between. Returns [`Error::Unknown`] if the write may have taken
    /// effect or still may, and [`Error::Protocol`] if the value has no `write_id`.
    pub async fn put_resolved(
        &self,
        kind: &str,
        name: &str,
        value: &Value,
        precondition: Precondition,
    ) -> Result<PutOutcome> {
        let Some(write_id) = write_id(value) else {
            return Err(Error::Protocol(format!("value without {WRITE_ID_FIELD}")));
        };
        let mut last_unknown = None;
        for _ in 0..MAX_ATTEMPTS {
            let cause = match self.put(kind, name, value, precondition).await {
                Ok(outcome) => return Ok(resolve_own_write(outcome, write_id)),
                Err(Error::Unknown(cause)) => cause,
                // An earlier attempt may still have taken effect.
                Err(error) => return Err(last_unknown.map_or(error, Error::Unknown)),
            };
            let Ok(current) = self.get(kind, name).await else {
                return Err(Error::Unknown(cause));
            };
            if current.as_ref().is_some_and(|o| is_write(o, write_id))
                || !condition_holds(precondition, &current)
            {
                let outcome = PutOutcome::Conflict { current };
                return Ok(resolve_own_write(outcome, write_id));
            }
            if precondition == Precondition::Any {
                // Retrying an unconditional write could overwrite a later write of another client.
                return Err(Error::Unknown(cause));
            }
            // The condition still holds. Retrying is safe, since at most one of the attempts can
            // take effect.
            last_unknown = Some(cause);
        }
        Err(Error::Unknown(last_unknown.unwrap_or_default()))
    }
}

/// Turns a conflict with this write itself into a success.
fn resolve_own_write(outcome: PutOutcome, id: &str) -> PutOutcome {
    match outcome {
        PutOutcome::Conflict {
            current: Some(object),
        } if is_write(&object, id) => PutOutcome::Written {
            version: object.version,
        },
        outcome => outcome,
    }
}

fn is_write(object: &Object, id: &str) -> bool {
    write_id(&object.value) == Some(id)
}

fn write_id(value: &Value) -> Option<&str> {
    value.get(WRITE_ID_FIELD)?.as_str()
}

fn condition_holds(precondition: Precondition, current: &Option<Object>) -> bool {
    match precondition {
        Precondition::Absent => current.is_none(),
        Precondition::Version(version) => current.as_ref().is_some_and(|o| o.version == version),
        Precondition::Any => true,
    }
}
