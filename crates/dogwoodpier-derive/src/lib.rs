//! Derive sets shared by the dogwoodpier crates.
//!
//! Each attribute stands for one common set of derives, so that types of one kind derive the same
//! traits everywhere.

use proc_macro::TokenStream;

/// Marks a plain data type: `Clone`, `Debug`, `PartialEq`.
#[proc_macro_attribute]
pub fn plain(_attr: TokenStream, item: TokenStream) -> TokenStream {
    derived("Clone, Debug, PartialEq", item)
}

/// Marks a small value that is copied and used as a map key: `Copy`, `Eq`, `Ord`, `Hash`.
#[proc_macro_attribute]
pub fn key(_attr: TokenStream, item: TokenStream) -> TokenStream {
    derived(
        "Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize",
        item,
    )
}

/// Marks a data type that crosses a process boundary: `Clone`, `Debug`, `PartialEq`, `Serialize`,
/// `Deserialize`.
#[proc_macro_attribute]
pub fn wire(_attr: TokenStream, item: TokenStream) -> TokenStream {
    derived(
        "Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize",
        item,
    )
}

fn derived(traits: &str, item: TokenStream) -> TokenStream {
    let mut output: TokenStream = format!("#[derive({traits})]")
        .parse()
        .expect("a fixed list of traits is a valid derive attribute");
    output.extend(item);
    output
}
