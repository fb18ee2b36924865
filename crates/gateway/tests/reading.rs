//! Readings of lists of the store in pages.

use {
    mangowalk_core::pool::ListPart,
    mangowalk_gateway::store::{Listing, Reading},
    mangowalk_platform::{Page, StoredObject},
    serde_json::Value,
};

/// A list of the objects `00` to `19`, of which the store answers four at a time.
fn page(after: Option<&str>, revision: u64) -> Page {
    let names = (0..20).map(|n| format!("{n:02}"));
    let rest: Vec<String> = names
        .filter(|name| after.is_none_or(|after| name.as_str() > after))
        .collect();
    Page {
        has_more: rest.len() > 4,
        revision,
        unnamed: 0,
        objects: rest
            .into_iter()
            .take(4)
            .map(|name| StoredObject {
                name,
                revision: 1,
                created: 1,
                spec: Value::Null,
                status: Value::Null,
            })
            .collect(),
    }
}

/// Reads until `enough` objects were read, from replicas with the given revisions.
fn read(start: Option<&str>, enough: usize, revisions: &[u64]) -> (Listing, usize) {
    let mut reading = Reading::new(start.map(str::to_owned));
    for pages in 1.. {
        let revision = revisions[pages % revisions.len()];
        let page = page(reading.after(), revision);
        match reading.add(page, |objects| objects.len() >= enough) {
            Ok(listing) => return (listing, pages),
            Err(unfinished) => reading = unfinished,
        }
    }
    unreachable!("the list ends")
}

fn names(listing: &Listing) -> Vec<&str> {
    let objects = listing.objects.iter();
    objects.map(|object| object.name.as_str()).collect()
}

/// Without a start, an early end would hide the rest of the list.
#[test]
fn a_whole_list_is_read_to_its_end() {
    let (listing, pages) = read(None, 2, &[5]);
    assert_eq!((listing.objects.len(), pages), (20, 5));
    assert_eq!(listing.part, ListPart::all());
}

#[test]
fn a_part_ends_when_enough_was_read() {
    let (listing, pages) = read(Some("05"), 7, &[5]);
    assert_eq!(pages, 2);
    assert_eq!(
        names(&listing),
        ["06", "07", "08", "09", "10", "11", "12", "13"]
    );
    assert_eq!(listing.part, ListPart::between("05", "13"));
}

/// A part that begins near the end of the list goes on at its beginning.
#[test]
fn a_part_goes_on_at_the_beginning_of_the_list() {
    let (listing, _) = read(Some("17"), 5, &[5]);
    assert_eq!(names(&listing), ["18", "19", "00", "01", "02", "03"]);
    assert_eq!(listing.part, ListPart::between("17", "03"));
}

/// Where nothing is enough, each object is read once and the part is the whole list.
#[test]
fn a_part_that_reaches_its_start_is_the_whole_list() {
    for start in ["", "05", "17", "99"] {
        let (listing, _) = read(Some(start), 100, &[5]);
        let mut names = names(&listing);
        names.sort_unstable();
        names.dedup();
        assert_eq!((names.len(), listing.objects.len()), (20, 20), "{start:?}");
        assert_eq!(listing.part, ListPart::all());
    }
}

/// Pages may come from replicas of different age. Changes have to be followed from the
/// oldest of them on, or those between two of them are never heard of.
#[test]
fn changes_are_followed_from_the_oldest_page_on() {
    assert_eq!(read(None, 2, &[9, 7, 8]).0.revision, 7);
}
