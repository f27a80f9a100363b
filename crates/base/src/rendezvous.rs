//! Rendezvous hashing: every process ranks the same members the same way without coordination,
//! and a member that joins or leaves moves only the subjects that it gains or held.

use xxhash_rust::xxh3;

/// The weight of `member` for `subject`; equal in every process.
#[must_use]
pub fn score(subject: &str, member: &str) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(&(subject.len() as u64).to_le_bytes());
    hasher.update(subject.as_bytes());
    hasher.update(member.as_bytes());
    hasher.digest()
}

/// The `count` members that rank highest for `subject`, best first.
pub fn highest<'a, I>(subject: &str, members: I, count: usize) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut ranking: Vec<(u64, &str)> = members
        .into_iter()
        .map(|member| (score(subject, member), member))
        .collect();
    ranking.sort_unstable_by(|left, right| right.cmp(left));
    ranking.truncate(count);
    ranking.into_iter().map(|(_, member)| member).collect()
}
