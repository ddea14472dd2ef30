//! Rendezvous hashing: every node picks the same member for a name without coordination.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the member with the highest weight for `name`, or `None` if there are no members.
pub fn pick<'a, I>(name: &str, members: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    members
        .into_iter()
        .max_by_key(|member| (weight(name, member), *member))
}

/// Returns the weight of a member for a name.
pub fn weight(name: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64_with_seed(name.as_bytes(), 0))
}
