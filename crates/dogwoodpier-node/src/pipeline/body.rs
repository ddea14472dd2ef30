//! Reads the body of a request within limits of size, time and memory.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::header;
use http_body_util::BodyExt;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

use dogwoodpier_core::Refusal;
use dogwoodpier_core::RefusalReason;

use crate::settings::Tuning;

const KIB: usize = 1024;
// Memory for the bodies of all requests that are being read or served at one time.
const BODY_BUDGET_KIB: usize = 96 * KIB;
const RETRY_AFTER_MS: u64 = 1_000;

static BODY_BUDGET: Semaphore = Semaphore::const_new(BODY_BUDGET_KIB);

/// A body in memory, with its share of the memory budget.
pub struct ReadBody {
    /// Whole body.
    pub bytes: Bytes,
    /// Share of the memory budget that the body takes.
    pub budget: BodyBudget,
}

/// A share of the memory budget for bodies. Dropping it returns the share.
#[derive(Default)]
pub struct BodyBudget {
    permits: Option<SemaphorePermit<'static>>,
}

impl BodyBudget {
    fn grow(&mut self, bytes: usize) -> Result<(), Refusal> {
        let held_kib = self.permits.as_ref().map_or(0, |held| held.num_permits());
        let missing_kib = bytes.div_ceil(KIB).saturating_sub(held_kib);
        if missing_kib == 0 {
            return Ok(());
        }
        let count = u32::try_from(missing_kib).unwrap_or(u32::MAX);
        let more = BODY_BUDGET.try_acquire_many(count).map_err(|_| {
            Refusal::not_run(
                RefusalReason::Overloaded,
                "the node has no memory left for request bodies",
            )
            .retry_after(RETRY_AFTER_MS)
        })?;
        match &mut self.permits {
            Some(held) => held.merge(more),
            None => self.permits = Some(more),
        }
        Ok(())
    }
}

/// Reads a whole body.
pub async fn read(
    headers: &HeaderMap,
    body: dropshot::Body,
    tuning: &Tuning,
) -> Result<ReadBody, Refusal> {
    let limit = Duration::from_millis(tuning.body_timeout_ms);
    let read = read_frames(headers, body, tuning.max_body_bytes);
    tokio::time::timeout(limit, read).await.map_err(|_| {
        Refusal::not_run(
            RefusalReason::RequestTimeout,
            format!(
                "the body did not arrive within {} ms",
                tuning.body_timeout_ms
            ),
        )
    })?
}

async fn read_frames(
    headers: &HeaderMap,
    mut body: dropshot::Body,
    max_bytes: usize,
) -> Result<ReadBody, Refusal> {
    let content_length = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<usize>().ok());
    if content_length.is_some_and(|bytes| bytes > max_bytes) {
        return Err(too_large(max_bytes));
    }
    let mut budget = BodyBudget::default();
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| {
            Refusal::not_run(
                RefusalReason::InvalidRequest,
                "the body ended before its announced length",
            )
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > max_bytes {
            return Err(too_large(max_bytes));
        }
        budget.grow(bytes.len() + data.len())?;
        bytes.extend_from_slice(&data);
    }
    Ok(ReadBody {
        bytes: bytes.freeze(),
        budget,
    })
}

fn too_large(max_bytes: usize) -> Refusal {
    Refusal::not_run(
        RefusalReason::TooLarge,
        format!("a body may have at most {max_bytes} bytes"),
    )
}
