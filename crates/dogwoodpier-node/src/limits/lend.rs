//! Lends tokens to borrowing peers.

use metrics::counter;

use dogwoodpier_core::Tokens;
use dogwoodpier_core::escrow::LoanRequest;
use dogwoodpier_core::escrow::LoanTerms;
use dogwoodpier_proto::BorrowItem;
use dogwoodpier_proto::BorrowReply;
use dogwoodpier_proto::BorrowRequest;
use dogwoodpier_proto::Loan;

use crate::clock;
use crate::counters;
use crate::state::Node;
use crate::state::SharedNode;

use super::borrow;

/// Lends the tokens that this node has. As broker, it also collects missing tokens from other
/// members and lends those.
pub(super) async fn lend(node: &SharedNode, request: BorrowRequest) -> BorrowReply {
    let mut reply = BorrowReply::default();
    // A draining node lends nothing, since its slots can be handed over only after its loans have
    // ended.
    if node.drain.is_draining() {
        return reply;
    }
    let borrower = request.borrower.unwrap_or_default().instance;
    let mut missing_items = Vec::new();
    for item in request.items {
        let missing = lend_item(node, &item, request.as_broker, &mut reply);
        if missing.0 > 0 {
            missing_items.push(BorrowItem {
                tokens: missing.0,
                ..item
            });
        }
    }
    if request.as_broker && !missing_items.is_empty() {
        borrow::collect_as_broker(node, missing_items.clone(), &borrower).await;
        for item in missing_items {
            lend_item(node, &item, true, &mut reply);
        }
    }
    reply
}

// Lends tokens for one item, and returns how many are still missing.
fn lend_item(node: &Node, item: &BorrowItem, as_broker: bool, reply: &mut BorrowReply) -> Tokens {
    let now = clock::now();
    let wanted = Tokens(item.tokens);
    let request = LoanRequest {
        wanted,
        is_urgent: item.is_urgent,
        as_broker,
        valid_ms: node.settings.tuning.loan_ms,
    };
    let loans = node
        .limits
        .accounts
        .with(node, &item.workspace, now, |account, backings| {
            account.lend(request, backings, now, rand::random)
        })
        .unwrap_or_default();
    let lent = Tokens(loans.iter().map(|loan| loan.tokens.0).sum());
    counter!(counters::LENT_TOKENS_TOTAL).increment(lent.0);
    let message = |terms: LoanTerms| Loan {
        loan_id: terms.loan_id,
        workspace: item.workspace.clone(),
        tokens: terms.tokens.0,
        valid_ms: terms.valid_ms,
        lender: Some(node.info()),
        config_version: item.config_version,
    };
    reply.loans.extend(loans.into_iter().map(message));
    wanted.saturating_sub(lent)
}
