//! Proof that an upstream has outlived a response that ended with its connection.
//!
//! A response with neither a length nor chunks ends with its connection, whether the upstream has
//! finished it, has exited, or a relay on the way has. That the upstream's address accepts
//! connections afterwards proves nothing: a forwarder, another incarnation or another relay may
//! accept them. A second connection over the same path, opened while the response is under way, ends
//! together with the process of the upstream or of the relay. A response over it afterwards
//! therefore proves that the end was the upstream's own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::upstreams::Upstream;
use dogwoodpier_http::Destination;
use dogwoodpier_http::Reply;
use dogwoodpier_http::SendError;
use dogwoodpier_process::clock;

use crate::cold;
use crate::counters;
use crate::paths;
use crate::state::SharedGateway;

// Pause before a connection that was refused is tried again: upstreams limit their connections.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
// Longest time that bytes of an upstream are on their way, with one retransmission.
const PATH_DELAY_MS: u64 = 500;
// Time for a response, longer than a plain upstream needs to have a slot free.
const RESPONSE_MS: u64 = 1_000;

/// A connection that is kept open while a response is under way. Dropping it closes the connection.
pub struct Witness {
    last_chunk_ms: watch::Sender<TimeMs>,
    end: oneshot::Sender<()>,
    watching: JoinHandle<Option<Proof>>,
    gateway: SharedGateway,
    upstream: Arc<Upstream>,
}

// A connection that was open when a response ended.
struct Proof {
    connection: dogwoodpier_http::Witness,
    request: Request<Full<Bytes>>,
}

impl Witness {
    /// Returns the witness of a response, which is needed only if the head doesn't state how its body
    /// ends.
    pub fn begin(gateway: &SharedGateway, upstream: &Arc<Upstream>, reply: &Reply) -> Option<Self> {
        if reply.is_framed {
            return None;
        }
        let (last_chunk_ms, received) = watch::channel(clock::now());
        let (end, has_ended) = oneshot::channel();
        let path = Path {
            gateway: gateway.clone(),
            upstream: upstream.clone(),
            relay: reply.relay,
        };
        Some(Self {
            last_chunk_ms,
            end,
            watching: tokio::spawn(path.watch(received, has_ended)),
            gateway: gateway.clone(),
            upstream: upstream.clone(),
        })
    }

    /// Records that a part of the response's body was received.
    pub fn record_chunk(&self) {
        self.last_chunk_ms.send_replace(clock::now());
    }

    /// Returns whether the end of the response was the upstream's own. If that is unknown, the
    /// response may be incomplete.
    pub async fn outlives_response(self, deadline_ms: TimeMs) -> bool {
        let begun_ms = clock::now();
        let limit_ms = deadline_ms.remaining(begun_ms).min(RESPONSE_MS);
        // The task has ended if this fails.
        let _ = self.end.send(());
        let proof = async {
            let Ok(Some(proof)) = self.watching.await else {
                return Err("no connection");
            };
            let head = proof.connection.request(proof.request).await;
            let head = head.map_err(|_| "the connection ended")?;
            if head.status == StatusCode::MISDIRECTED_REQUEST {
                return Err("another upstream responded");
            }
            cold::record_response(&self.gateway, &self.upstream, &head.headers);
            // The request has no id. A faulty upstream may have sent an earlier response once more.
            let id = head.headers.get(&self.gateway.dialect.headers.request_id);
            match id.is_some_and(|id| !id.is_empty()) {
                true => Err("the response is that to another request"),
                false => Ok(()),
            }
        };
        let result = tokio::time::timeout(Duration::from_millis(limit_ms), proof).await;
        let result = result.unwrap_or(Err("no response in time"));
        if let Err(problem) = result {
            self.gateway.events.write(
                "response_end_unproven",
                serde_json::json!({
                    "upstream": &*self.upstream.id,
                    "detail": problem,
                    "elapsed_ms": clock::now().since(begun_ms),
                }),
            );
        }
        result.is_ok()
    }
}

// The path of a response.
struct Path {
    gateway: SharedGateway,
    upstream: Arc<Upstream>,
    relay: Option<SocketAddr>,
}

impl Path {
    // Keeps a connection open until the response has ended. Upstreams close idle connections, so it
    // may have to be replaced. A replacement proves nothing before the upstream has written more, as
    // it may lead to the next incarnation.
    async fn watch(
        self,
        received: watch::Receiver<TimeMs>,
        mut has_ended: oneshot::Receiver<()>,
    ) -> Option<Proof> {
        let mut is_replacement = false;
        loop {
            let connected = tokio::select! {
                connected = self.connect() => connected,
                _ = &mut has_ended, if is_replacement => return None,
            };
            let Ok(mut connection) = connected else {
                is_replacement = true;
                tokio::select! {
                    _ = &mut has_ended => return None,
                    () = tokio::time::sleep(RETRY_PAUSE) => continue,
                }
            };
            let settled_ms = match is_replacement {
                true => clock::now().after(PATH_DELAY_MS),
                false => TimeMs(0),
            };
            tokio::select! {
                biased;
                ended = &mut has_ended => {
                    let is_proof = *received.borrow() >= settled_ms;
                    if ended.is_err() || !is_proof {
                        return None;
                    }
                    let request = self.request().ok()?;
                    return Some(Proof { connection, request });
                }
                () = connection.ended() => is_replacement = true,
            }
        }
    }

    async fn connect(&self) -> Result<dogwoodpier_http::Witness, SendError> {
        let to = match self.relay {
            Some(relay) => Destination {
                relays: vec![relay],
                ..paths::direct(&self.gateway, &self.upstream)
            },
            // Through any relay if this instance has lost its links: none was involved.
            None => paths::destination(&self.gateway, &self.upstream),
        };
        let connection = self.gateway.connections.witness(&to, self.relay).await?;
        if connection.is_new {
            metrics::counter!(counters::CONNECTIONS_TOTAL).increment(1);
        }
        Ok(connection)
    }

    fn request(&self) -> http::Result<Request<Full<Bytes>>> {
        let path = self.status_path();
        let names = &self.gateway.dialect.headers;
        Request::get(&*path)
            .header(header::HOST, self.upstream.address.to_string())
            .header(&names.expected_upstream, &*self.upstream.id)
            .body(Full::default())
    }

    // Returns the path at which the upstream states how it is.
    fn status_path(&self) -> Arc<str> {
        let report_path = self.gateway.dialect.engine_report_path;
        if self.upstream.stage.is_some() {
            return report_path.into();
        }
        let configuration = self.gateway.configuration.load();
        configuration
            .as_ref()
            .and_then(|configuration| configuration.services.get(&self.upstream.service))
            .and_then(|service| service.health_check_path.clone())
            .unwrap_or_else(|| report_path.into())
    }
}
