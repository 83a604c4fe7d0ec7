//! The `#[domain]` attribute, which adds the common derives of domain types.
//!
//! Domain types share a few sets of derives. Repeating them on every type lets the types diverge: one
//! lacks `Hash`, another serializes its fields under a different naming convention. `#[domain]` names the
//! set, which also tells the reader what kind of type follows.
//!
//! The attribute only prepends other attributes and leaves the item unchanged. This needs no parser, so
//! the crate has no dependencies.

use proc_macro::TokenStream;

const RECORD_ATTRIBUTES: &str =
    "#[derive(Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]
     #[serde(rename_all = \"kebab-case\")]";

const VALUE_ATTRIBUTES: &str = "#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize)]
     #[serde(rename_all = \"kebab-case\")]";

const KEY_ATTRIBUTES: &str = "#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize)]
     #[serde(rename_all = \"kebab-case\")]";

/// Derives the common traits of a domain type.
///
/// - `#[domain]`, for records: `Clone`, `Debug`, `PartialEq`, `Eq`, and serde with kebab-case names.
/// - `#[domain(value)]`, for small numbers and flags: also `Copy`, `PartialOrd`, `Ord` and `Hash`.
/// - `#[domain(key)]`, for owned names and identifiers: also `PartialOrd`, `Ord` and `Hash`.
///
/// # Panics
///
/// Panics on any other argument, which fails the compilation.
#[proc_macro_attribute]
pub fn domain(kind: TokenStream, item: TokenStream) -> TokenStream {
    let attributes = match kind.to_string().as_str() {
        "" => RECORD_ATTRIBUTES,
        "value" => VALUE_ATTRIBUTES,
        "key" => KEY_ATTRIBUTES,
        other => panic!("#[domain({other})]: expected nothing, `value` or `key`"),
    };
    let mut output: TokenStream = attributes.parse().expect("the attributes above are valid Rust");
    output.extend(item);
    output
}
