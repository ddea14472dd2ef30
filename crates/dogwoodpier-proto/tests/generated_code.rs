//! Checks that the committed code is the code generated from the schema.

use std::env;
use std::fs;
use std::path::Path;

#[test]
fn generated_code_matches_schema() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let committed_path = root.join("src/generated.rs");
    let output = env::temp_dir().join(format!("dogwoodpier-proto-{}", std::process::id()));
    fs::create_dir_all(&output).expect("a temporary directory can be created");
    let schema = protox::compile([root.join("proto/peer.proto")], [root.join("proto")])
        .expect("the schema compiles");
    tonic_prost_build::configure()
        .out_dir(&output)
        .compile_fds(schema)
        .expect("code is generated");
    let generated =
        fs::read_to_string(output.join("dogwoodpier.peer.v1.rs")).expect("output exists");
    fs::remove_dir_all(&output).expect("the temporary directory can be removed");
    if env::var_os("UPDATE_GENERATED").is_some() {
        fs::write(&committed_path, &generated).expect("the committed code can be written");
    }
    let committed = fs::read_to_string(&committed_path).unwrap_or_default();
    assert!(
        committed == generated,
        "run this test with UPDATE_GENERATED=1 and commit the result"
    );
}
