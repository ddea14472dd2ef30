//! The gRPC service that a node offers to its peers.

use std::future::Future;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Server;

use dogwoodpier_proto::BorrowReply;
use dogwoodpier_proto::BorrowRequest;
use dogwoodpier_proto::CheckHoldsReply;
use dogwoodpier_proto::CheckHoldsRequest;
use dogwoodpier_proto::ClaimReply;
use dogwoodpier_proto::ClaimRequest;
use dogwoodpier_proto::FetchClaimsReply;
use dogwoodpier_proto::FetchClaimsRequest;
use dogwoodpier_proto::FetchConfigReply;
use dogwoodpier_proto::FetchConfigRequest;
use dogwoodpier_proto::FetchUpstreamsReply;
use dogwoodpier_proto::FetchUpstreamsRequest;
use dogwoodpier_proto::HandOverReply;
use dogwoodpier_proto::HandOverRequest;
use dogwoodpier_proto::HeartbeatReply;
use dogwoodpier_proto::HeartbeatRequest;
use dogwoodpier_proto::KeepClaimsReply;
use dogwoodpier_proto::KeepClaimsRequest;
use dogwoodpier_proto::RecordOutcomesReply;
use dogwoodpier_proto::RecordOutcomesRequest;
use dogwoodpier_proto::ReleaseReply;
use dogwoodpier_proto::ReleaseRequest;
use dogwoodpier_proto::ReserveReply;
use dogwoodpier_proto::ReserveRequest;
use dogwoodpier_proto::SettleLoansReply;
use dogwoodpier_proto::SettleLoansRequest;
use dogwoodpier_proto::TurnReply;
use dogwoodpier_proto::TurnRequest;
use dogwoodpier_proto::peer_server::Peer;
use dogwoodpier_proto::peer_server::PeerServer;

use crate::clock;
use crate::state::SharedNode;

use super::heartbeat;

const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves peers until `stop` completes.
pub async fn serve<F>(
    node: SharedNode,
    listener: TcpListener,
    stop: F,
) -> Result<(), tonic::transport::Error>
where
    F: Future<Output = ()>,
{
    Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
        .tcp_nodelay(true)
        .add_service(PeerServer::new(PeerService { node }))
        .serve_with_incoming_shutdown(TcpListenerStream::new(listener), stop)
        .await
}

struct PeerService {
    node: SharedNode,
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn heartbeat(
        &self,
        request: Request<HeartbeatRequest>,
    ) -> Result<Response<HeartbeatReply>, Status> {
        Ok(Response::new(heartbeat::handle(
            &self.node,
            request.into_inner(),
        )))
    }

    async fn borrow(
        &self,
        request: Request<BorrowRequest>,
    ) -> Result<Response<BorrowReply>, Status> {
        Ok(Response::new(
            self.node
                .limits
                .lend(&self.node, request.into_inner())
                .await,
        ))
    }

    async fn settle_loans(
        &self,
        request: Request<SettleLoansRequest>,
    ) -> Result<Response<SettleLoansReply>, Status> {
        self.node
            .limits
            .settle_loans(&self.node, request.into_inner(), clock::now());
        Ok(Response::new(SettleLoansReply {}))
    }

    async fn hand_over(
        &self,
        request: Request<HandOverRequest>,
    ) -> Result<Response<HandOverReply>, Status> {
        Ok(Response::new(
            self.node
                .slots
                .hand_over(&self.node, request.into_inner())
                .await,
        ))
    }

    async fn claim(&self, request: Request<ClaimRequest>) -> Result<Response<ClaimReply>, Status> {
        Ok(Response::new(
            self.node
                .claims
                .grant(&self.node, request.into_inner())
                .await,
        ))
    }

    async fn record_outcomes(
        &self,
        request: Request<RecordOutcomesRequest>,
    ) -> Result<Response<RecordOutcomesReply>, Status> {
        Ok(Response::new(
            self.node
                .claims
                .record_outcomes(&self.node, request.into_inner())
                .await,
        ))
    }

    async fn keep_claims(
        &self,
        request: Request<KeepClaimsRequest>,
    ) -> Result<Response<KeepClaimsReply>, Status> {
        Ok(Response::new(self.node.claims.store_copies(
            &self.node,
            request.into_inner(),
            clock::now(),
        )))
    }

    async fn fetch_claims(
        &self,
        request: Request<FetchClaimsRequest>,
    ) -> Result<Response<FetchClaimsReply>, Status> {
        Ok(Response::new(
            self.node
                .claims
                .fetch_reply(&request.into_inner(), clock::now()),
        ))
    }

    async fn take_turn(
        &self,
        request: Request<TurnRequest>,
    ) -> Result<Response<TurnReply>, Status> {
        Ok(Response::new(
            self.node
                .quarantine
                .handle_turn_request(&request.into_inner(), clock::now()),
        ))
    }

    async fn reserve(
        &self,
        request: Request<ReserveRequest>,
    ) -> Result<Response<ReserveReply>, Status> {
        Ok(Response::new(
            self.node
                .coordinator
                .reserve(&self.node, request.into_inner())
                .await,
        ))
    }

    async fn release(
        &self,
        request: Request<ReleaseRequest>,
    ) -> Result<Response<ReleaseReply>, Status> {
        self.node
            .coordinator
            .release(request.into_inner(), clock::now());
        Ok(Response::new(ReleaseReply {}))
    }

    async fn check_holds(
        &self,
        request: Request<CheckHoldsRequest>,
    ) -> Result<Response<CheckHoldsReply>, Status> {
        Ok(Response::new(
            self.node
                .upstreams
                .check_holds(self.node.id(), &request.into_inner()),
        ))
    }

    async fn fetch_config(
        &self,
        request: Request<FetchConfigRequest>,
    ) -> Result<Response<FetchConfigReply>, Status> {
        Ok(Response::new(
            self.node
                .config
                .fetch_reply(request.into_inner().newer_than),
        ))
    }

    async fn fetch_upstreams(
        &self,
        _request: Request<FetchUpstreamsRequest>,
    ) -> Result<Response<FetchUpstreamsReply>, Status> {
        Ok(Response::new(self.node.upstreams.listed_reply()))
    }
}
