//! Checks that `explain` finds the cause of a request's failure in logs that also contain truncated
//! lines and lines of other programs.

use std::path::Path;

use dogwoodpier_ctl::explain;

const LOG_ONE: &str = r#"
  12.3 g1 {"unix_ms":1000,"instance":"g1","event":"store","kind":"servers","state":"lost"}
{"unix_ms":2000,"instance":"g1","event":"admitted","request_id":"r1","configuration_version":7}
{"unix_ms":2300,"instance":"g1","event":"rejected","request_id":"r1","reason":"answer_lost","status":502}
{"unix_ms":2301,"instance":"g1","event":"admitted","request_id":"r2","conf
not a line of ours
"#;
const LOG_TWO: &str = r#"
{"unix_ms":2100,"instance":"g2","event":"upstream_gone","upstream":"u1"}
{"unix_ms":2250,"instance":"g1","event":"send_failed","request_id":"r1","upstream":"u1","result":"lost","detail":"reset"}
{"unix_ms":2260,"instance":"g1","event":"upstream","upstream":"another"}
"#;

fn explained(request_id: &str) -> String {
    let directory = tempfile::tempdir().expect("a directory");
    let files = [("one", LOG_ONE), ("two", LOG_TWO)].map(|(name, text)| {
        let file = directory.path().join(name);
        std::fs::write(&file, text).expect("a log is written");
        file
    });
    let files = files.iter().map(|file| -> &Path { file });
    explain::explain(request_id, files).expect("the logs are read")
}

#[test]
fn rejected_request_is_explained_with_its_cause() {
    let text = explained("r1");
    let order: Vec<&str> = text
        .lines()
        .filter_map(|line| line.split_whitespace().nth(3))
        .collect();
    assert!(text.starts_with("1 lines are cut"), "{text}");
    assert_eq!(
        order[1..6],
        [
            "store",
            "admitted",
            "upstream_gone",
            "send_failed",
            "rejected"
        ],
        "{text}"
    );
    assert!(!text.contains("upstream=\"another\""), "{text}");
    assert!(
        text.ends_with("answered 502 itself: answer_lost, after send_failed lost: reset.\n"),
        "{text}"
    );
}

#[test]
fn request_without_log_lines_is_reported() {
    assert!(explained("r9").contains("no line tells of request r9"));
}
