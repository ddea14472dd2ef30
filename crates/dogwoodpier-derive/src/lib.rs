//! Attribute macros for sets of derives that the dogwoodpier crates share.
//!
//! Each attribute expands to one set of derives, so that types of one kind derive the same traits in
//! all crates.

use proc_macro::TokenStream;

/// Marks a plain data type. Derives `Clone`, `Debug` and `PartialEq`.
#[proc_macro_attribute]
pub fn plain(_attr: TokenStream, item: TokenStream) -> TokenStream {
    add_derives("Clone, Debug, PartialEq", item)
}

/// Marks a small value that is copied and used as a map key. Derives `Clone`, `Copy`, `Debug`,
/// `PartialEq`, `Eq`, `PartialOrd`, `Ord`, `Hash`, `Serialize` and `Deserialize`.
#[proc_macro_attribute]
pub fn key(_attr: TokenStream, item: TokenStream) -> TokenStream {
    add_derives(
        "Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize",
        item,
    )
}

/// Marks a data type that crosses a process boundary. Derives `Clone`, `Debug`, `PartialEq`,
/// `Serialize` and `Deserialize`.
#[proc_macro_attribute]
pub fn wire(_attr: TokenStream, item: TokenStream) -> TokenStream {
    add_derives(
        "Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize",
        item,
    )
}

fn add_derives(traits: &str, item: TokenStream) -> TokenStream {
    let mut output: TokenStream = format!("#[derive({traits})]")
        .parse()
        .expect("a fixed list of traits is a valid derive attribute");
    output.extend(item);
    output
}
