use {
    mangowalk_core::pool::ListPart,
    mangowalk_platform::{Page, StoredObject},
};

/// Objects of one kind that were read from the store.
#[derive(Debug, PartialEq)]
pub struct Listing {
    /// The objects; those of a part that begins within the list come first.
    pub objects: Vec<StoredObject>,
    /// Revision from which on changes have to be followed.
    pub revision: u64,
    /// Part of the names that was read.
    pub part: ListPart,
}

/// A reading of one kind in pages: of the whole list, or from a name on until enough
/// objects were read.
#[derive(Debug, Default)]
pub struct Reading {
    start: Option<String>,
    /// Name after which the next page begins.
    after: Option<String>,
    objects: Vec<StoredObject>,
    revision: Option<u64>,
    /// Whether the end of the list was reached and its first names follow.
    is_wrapped: bool,
}

impl Reading {
    /// Begins a reading after `start`, or of the whole list.
    pub fn new(start: Option<String>) -> Reading {
        Reading {
            after: start.clone(),
            start,
            ..Reading::default()
        }
    }

    /// Returns whether the reading begins within the list.
    pub fn is_partial(&self) -> bool {
        self.start.is_some()
    }

    /// Returns the name after which the next page begins; `None` for the first page of
    /// the list.
    pub fn after(&self) -> Option<&str> {
        self.after.as_deref()
    }

    /// Adds a page. Returns the listing if it was the last one to be read.
    ///
    /// # Errors
    ///
    /// Returns the reading if more pages are to be read.
    pub fn add(
        mut self,
        page: Page,
        is_enough: impl FnOnce(&[StoredObject]) -> bool,
    ) -> Result<Listing, Reading> {
        // Pages may come from replicas of the store that know different revisions.
        let revision = self.revision.unwrap_or(page.revision).min(page.revision);
        self.revision = Some(revision);
        let has_more = page.has_more && !page.objects.is_empty();
        let last = page.objects.last().map(|object| object.name.clone());
        self.after = last.filter(|_| has_more);
        let mut objects = page.objects;
        let start = self.start.as_deref();
        let was_read =
            |object: &StoredObject| start.is_some_and(|start| object.name.as_str() > start);
        let reaches_start = self.is_wrapped && objects.iter().any(was_read);
        if self.is_wrapped {
            objects.retain(|object| !was_read(object));
        }
        self.objects.append(&mut objects);
        if reaches_start || !has_more && (self.start.is_none() || self.is_wrapped) {
            return Ok(self.finish(ListPart::all()));
        }
        if let (Some(start), Some(last)) = (&self.start, self.objects.last())
            && is_enough(&self.objects)
        {
            let part = ListPart::between(start, &last.name);
            return Ok(self.finish(part));
        }
        self.is_wrapped |= !has_more;
        Err(self)
    }

    fn finish(self, part: ListPart) -> Listing {
        Listing {
            objects: self.objects,
            revision: self.revision.unwrap_or_default(),
            part,
        }
    }
}
