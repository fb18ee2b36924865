use std::collections::BTreeSet;

/// Number of characters that are drawn for a name. Sixteen different ones give more
/// names than there are engines.
const DRAWN_CHARACTERS: usize = 6;

/// The form of the names of engines, by which instances draw different places in the
/// sorted list without having read it: a common beginning, and the characters that
/// occur behind it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NameForm {
    prefix: String,
    characters: Vec<char>,
}

impl NameForm {
    /// Returns the form that these names have in common.
    pub fn of<'a>(names: impl IntoIterator<Item = &'a str>) -> NameForm {
        let names: Vec<&str> = names.into_iter().collect();
        let prefix = common_prefix(&names);
        let behind = names.iter().flat_map(|name| name[prefix.len()..].chars());
        let characters: BTreeSet<char> = behind.collect();
        NameForm {
            prefix: prefix.to_owned(),
            characters: characters.into_iter().collect(),
        }
    }

    /// Returns a name of this form, a different one for each seed.
    pub fn draw(&self, seed: u64) -> String {
        let mut name = self.prefix.clone();
        let base = self.characters.len() as u64;
        let mut rest = seed;
        for _ in 0..DRAWN_CHARACTERS {
            let Some(index) = rest.checked_rem(base) else {
                break;
            };
            name.push(self.characters[index as usize]);
            rest /= base;
        }
        name
    }

    /// Returns whether most of these names begin as the form does. Others may come from
    /// another writer of the list.
    pub fn fits<'a>(&self, names: impl IntoIterator<Item = &'a str>) -> bool {
        let (mut fitting, mut all) = (0, 0);
        for name in names {
            fitting += usize::from(name.starts_with(&self.prefix));
            all += 1;
        }
        fitting * 2 >= all
    }
}

fn common_prefix<'a>(names: &[&'a str]) -> &'a str {
    let Some((&first, others)) = names.split_first() else {
        return "";
    };
    let mut end = first.len();
    for other in others {
        let common = first.bytes().zip(other.bytes());
        end = end.min(common.take_while(|(a, b)| a == b).count());
    }
    while !first.is_char_boundary(end) {
        end -= 1;
    }
    &first[..end]
}
