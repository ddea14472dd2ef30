//! Withdrawing a key ends its running streams with an error that the caller receives.

#[allow(dead_code)]
mod models;

use dogwoodpier_fakes::fleet::Fleet;

use crate::models::completion;

const LONG_ANSWER_TOKENS: u64 = 3_000;
const KEY_TABLE: &str = "[keys.sales-2026]";

#[tokio::test]
async fn withdrawing_a_key_ends_its_running_streams() {
    let plan = models::plan(2);
    let declarations = plan.declarations.clone();
    let fleet = Fleet::start(plan).await.expect("the fleet starts");
    let calls: Vec<_> = (0..2)
        .map(|number| {
            let caller = models::caller(&fleet, number);
            let completion = completion(&format!("tender {number}"), LONG_ANSWER_TOKENS);
            tokio::spawn(async move { caller.complete(&completion).await })
        })
        .collect();
    models::wait_for_decodes(&fleet, 2).await;
    let start = declarations.find(KEY_TABLE).expect("the key is declared");
    let end = declarations[start + 1..]
        .find("\n[")
        .map_or(declarations.len(), |offset| start + 1 + offset);
    let without_key = format!("{}{}", &declarations[..start], &declarations[end..]);
    fleet
        .declare(&without_key, "withdraw the sales key")
        .await
        .expect("the declarations are applied");
    for call in calls {
        let answer = call.await.expect("the caller's task completes");
        assert!(!answer.is_complete());
        assert!((answer.tokens.len() as u64) < LONG_ANSWER_TOKENS);
        let rejection = answer.refused.expect("the stream ends with an error");
        assert_eq!(
            (&*rejection.code, &*rejection.execution),
            ("invalid_key", "ran")
        );
    }
    models::wait_for_no_holds(&fleet).await;
}
