//! A key that is withdrawn ends its streams that run, as an error that the caller can see.

#[allow(dead_code)]
mod models;

use dogwoodpier_fakes::fleet::Fleet;

use crate::models::completion;

const LONG_ANSWER_TOKENS: u64 = 3_000;
const KEY_TABLE: &str = "[keys.sales-2026]";

#[tokio::test]
async fn a_withdrawn_key_ends_its_stream() {
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
    models::wait_decoding(&fleet, 2).await;
    let start = declarations.find(KEY_TABLE).expect("the key is declared");
    let end = declarations[start + 1..]
        .find("\n[")
        .map_or(declarations.len(), |offset| start + 1 + offset);
    let without_key = format!("{}{}", &declarations[..start], &declarations[end..]);
    fleet
        .declare(&without_key, "withdraw the sales key")
        .await
        .expect("it is put in force");
    for call in calls {
        let answer = call.await.expect("the caller ends");
        assert!(!answer.is_complete());
        assert!((answer.tokens.len() as u64) < LONG_ANSWER_TOKENS);
        let refused = answer.refused.expect("the end is an error");
        assert_eq!(
            (&*refused.code, &*refused.execution),
            ("invalid_key", "ran")
        );
    }
    models::wait_nothing_held(&fleet).await;
}
