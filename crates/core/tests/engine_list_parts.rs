//! Which part of a long engine list each instance of a large fleet knows.

use {
    mangowalk_core::pool::{
        EngineEntry, EngineTable, Incarnation, ListPart, ListPartSettings, NameForm,
    },
    std::collections::{BTreeSet, HashSet},
};

const DOMAINS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// Entries on one page of the store's answers, and their size.
const PAGE_ENTRIES: usize = 200;
const ENTRY_BYTES: usize = 350;

/// Bytes a second that the link of a small machine carries.
const LINK_BYTES_PER_S: usize = 2_500_000;

/// Bytes a second that the store's link carries.
const STORE_BYTES_PER_S: usize = 125_000_000;

fn entry(id: &str, service: &str, domain: &str) -> EngineEntry {
    EngineEntry {
        incarnation: Incarnation {
            id: id.to_owned(),
            born_ms: 1,
        },
        revision: 1,
        service: service.to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: domain.to_owned(),
        slots: 8,
        draining: false,
        models: Vec::new(),
        cold_left_ms: 0,
        software: String::new(),
    }
}

/// Returns a list sorted by name, in which one engine in `rare` runs another service.
fn list(engines: usize, rare: usize) -> Vec<EngineEntry> {
    let mut list: Vec<EngineEntry> = (0..engines)
        .map(|n| {
            let id = (n as u32).wrapping_mul(0x9e37_79b9);
            let service = if n % rare == 0 { "orders" } else { "llm" };
            entry(
                &format!("i-{id:08x}"),
                service,
                DOMAINS[n / rare % DOMAINS.len()],
            )
        })
        .collect();
    list.sort_by(|a, b| a.incarnation.id.cmp(&b.incarnation.id));
    list
}

fn services() -> BTreeSet<String> {
    ["llm".to_owned(), "orders".to_owned()].into()
}

fn form() -> NameForm {
    NameForm::of(["i-01234567", "i-fedcba98"])
}

fn seed(instance: usize) -> u64 {
    (instance as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 8
}

/// Reads a list in pages as an instance does, and returns its part with the number of
/// pages that it took.
fn read(list: &[EngineEntry], instance: usize, instances: usize) -> (ListPart, usize) {
    let settings = ListPartSettings::default();
    let after = form().draw(seed(instance));
    let first = list.partition_point(|entry| entry.incarnation.id <= after);
    let ring: Vec<&EngineEntry> = list[first..].iter().chain(&list[..first]).collect();
    for pages in 1.. {
        let read = &ring[..ring.len().min(pages * PAGE_ENTRIES)];
        if read.len() == ring.len() {
            return (ListPart::all(), pages);
        }
        if settings.is_enough(read.iter().copied(), &services(), instances) {
            let last = read
                .last()
                .map_or("", |entry| entry.incarnation.id.as_str());
            return (ListPart::between(&after, last), pages);
        }
    }
    unreachable!("the list ends")
}

/// When all instances of a large fleet read the whole list at their start, the store's
/// link needs half a minute for it, and again whenever the store drops its history.
#[test]
fn the_readings_of_all_instances_fit_the_links_of_store_and_instances() {
    for (instances, engines) in [(300, 3_000), (987, 10_000), (1_974, 20_000)] {
        let list = list(engines, 28);
        let pages = (0..instances).map(|instance| {
            let (part, pages) = read(&list, instance, instances);
            assert!(!part.is_all());
            pages
        });
        let pages: Vec<usize> = pages.collect();
        let bytes = |pages: usize| pages * PAGE_ENTRIES * ENTRY_BYTES;
        let most = pages.iter().copied().max().expect("there are instances");
        assert!(bytes(most) <= LINK_BYTES_PER_S / 4, "{most} pages");
        let fleet_s = bytes(pages.iter().sum()) as f64 / STORE_BYTES_PER_S as f64;
        let allowed_s = 3.0 * (instances as f64 / 987.0).max(1.0);
        assert!(fleet_s <= allowed_s, "{fleet_s} s at {instances}");
    }
}

/// Where engines are as few as the work needs, all instances must agree on where the
/// head of a prompt is kept, so each has to know them all.
#[test]
fn a_list_that_is_soon_read_is_known_to_all() {
    let list = list(640, 28);
    assert!((0..350).all(|instance| read(&list, instance, 350).0.is_all()));
}

/// An engine that few instances know would idle while others are full, and nobody would
/// tell an instance without access to the store that it leaves.
#[test]
fn each_engine_is_known_to_many_instances() {
    let list = list(10_000, 28);
    let parts: Vec<ListPart> = (0..987)
        .map(|instance| read(&list, instance, 987).0)
        .collect();
    let known = |entry: &EngineEntry| {
        let knowing = parts
            .iter()
            .filter(|part| part.contains(&entry.incarnation.id));
        knowing.count()
    };
    let least = list.iter().map(known).min().expect("there are engines");
    assert!(least >= 20, "one engine is known to {least} instances");
}

/// A part must outlast the loss of all domains but one, and serve each service.
#[test]
fn a_part_has_engines_of_each_service_in_each_domain() {
    let list = list(10_000, 28);
    for instance in 0..100 {
        let (part, _) = read(&list, instance, 987);
        let known = list
            .iter()
            .filter(|entry| part.contains(&entry.incarnation.id));
        let known: Vec<&EngineEntry> = known.collect();
        for domain in DOMAINS {
            let left = known.iter().filter(|entry| entry.domain == domain);
            assert!(left.count() >= 40, "instance {instance}");
        }
        let orders = known.iter().filter(|entry| entry.service == "orders");
        assert!(orders.count() >= 8, "instance {instance}");
    }
}

/// A service with few engines in a long list isn't found in most parts.
#[test]
fn a_rare_service_is_searched_through_the_whole_list() {
    let list = list(3_000, 1_000);
    let (part, _) = read(&list, 1, 987);
    assert!(part.is_all());
}

#[test]
fn a_part_goes_on_with_the_first_names_after_the_last() {
    let part = ListPart::between("i-e", "i-2");
    let names = ["i-0", "i-2", "i-3", "i-e", "i-f"];
    let known = names.map(|name| part.contains(name));
    assert_eq!(known, [true, true, false, false, true]);
    let part = ListPart::between("i-2", "i-e");
    let known = names.map(|name| part.contains(name));
    assert_eq!(known, [false, false, true, true, false]);
}

/// When most engines of a part are lost, the others of the list must be used.
#[test]
fn a_part_that_has_lost_its_engines_is_depleted() {
    let settings = ListPartSettings::default();
    let list = list(500, 28);
    let is_depleted = |entries: &[EngineEntry]| settings.is_depleted(entries, &services());
    assert!(!is_depleted(&list));
    assert!(is_depleted(&list[..199]));
    let without_orders: Vec<EngineEntry> = list
        .into_iter()
        .filter(|entry| entry.service == "llm")
        .collect();
    assert!(is_depleted(&without_orders));
}

/// Names of another form than expected would make all instances read the same part.
#[test]
fn another_form_of_names_is_learned_from_the_list() {
    let names: Vec<String> = (0..500).map(|n| format!("engine-{:05}", n * 20)).collect();
    let names = names.iter().map(String::as_str);
    assert!(!form().fits(names.clone()));
    let learned = NameForm::of(names.clone());
    assert!(learned.fits(names));
    let starts: HashSet<String> = (0..100).map(|n| learned.draw(seed(n))).collect();
    assert_eq!(starts.len(), 100);
    assert!(starts.iter().all(|start| start.starts_with("engine-0")));
}

/// An instance that comes to know a smaller part must not tell others that the engines
/// outside of it have left, and must not use them without knowing their changes.
#[test]
fn engines_outside_of_a_part_are_forgotten_and_not_reported() {
    let mut table = EngineTable::default();
    for id in ["i-1", "i-5", "i-9"] {
        table.apply_entry(entry(id, "llm", "a"));
    }
    let part = ListPart::between("i-4", "i-9");
    let listed = HashSet::from(["i-5"]);
    assert_eq!(table.missing_from(&part, &listed), ["i-9"]);
    table.retain_part(&part);
    let left: Vec<&str> = table
        .iter()
        .map(|engine| engine.entry.incarnation.id.as_str())
        .collect();
    assert_eq!(left, ["i-5", "i-9"]);
    assert!(table.departures(0).is_empty());
}
