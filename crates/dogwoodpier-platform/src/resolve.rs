//! Writes whose lost answers are resolved by reading back.

use serde_json::Value;

use crate::client::Client;
use crate::client::Precondition;
use crate::client::PutOutcome;
use crate::error::Error;
use crate::error::Result;
use crate::wire::Object;

/// Field of a value that names the write, see [`Client::put_resolved`].
pub const WRITE_ID_FIELD: &str = "write_id";

/// A write that is still in doubt after this many tries stays unknown.
const MAX_TRIES: u32 = 3;

impl Client {
    /// Writes an object whose value carries a random `write_id`, and finds out what became of the
    /// write when its answer is lost.
    ///
    /// Returns `Written` also if only a later read shows that the write took effect. Returns
    /// `Conflict` if the object now holds another's write; if an answer was lost before, the own
    /// write may have been in force in between. Returns [`Error::Unknown`] if the write may have
    /// taken effect or still may, and [`Error::Protocol`] if the value has no `write_id`.
    pub async fn put_resolved(
        &self,
        kind: &str,
        name: &str,
        value: &Value,
        expect: Precondition,
    ) -> Result<PutOutcome> {
        let Some(write_id) = write_id(value) else {
            return Err(Error::Protocol(format!("value without {WRITE_ID_FIELD}")));
        };
        let mut last_doubt = None;
        for _ in 0..MAX_TRIES {
            let doubt = match self.put(kind, name, value, expect).await {
                Ok(outcome) => return Ok(own_write_first(outcome, write_id)),
                Err(Error::Unknown(doubt)) => doubt,
                // An earlier try may still have taken effect.
                Err(error) => return Err(last_doubt.map_or(error, Error::Unknown)),
            };
            let Ok(current) = self.get(kind, name).await else {
                return Err(Error::Unknown(doubt));
            };
            if current.as_ref().is_some_and(|o| is_write(o, write_id)) || !holds(expect, &current) {
                let outcome = PutOutcome::Conflict { current };
                return Ok(own_write_first(outcome, write_id));
            }
            if expect == Precondition::Any {
                // To try again could undo a later write of another.
                return Err(Error::Unknown(doubt));
            }
            // The condition still holds. A repeat is safe, since only one of the tries can win.
            last_doubt = Some(doubt);
        }
        Err(Error::Unknown(last_doubt.unwrap_or_default()))
    }
}

/// Turns a conflict with one's own write into a success.
fn own_write_first(outcome: PutOutcome, id: &str) -> PutOutcome {
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

fn holds(expect: Precondition, current: &Option<Object>) -> bool {
    match expect {
        Precondition::Absent => current.is_none(),
        Precondition::Version(version) => current.as_ref().is_some_and(|o| o.version == version),
        Precondition::Any => true,
    }
}
