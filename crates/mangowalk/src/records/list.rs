use {
    crate::{
        cli::{Common, common, kind},
        failure::Failure,
        output::Table,
    },
    bpaf::Bpaf,
    error_stack::Report,
    mangowalk_core::{
        edge::Platform,
        platform::Object,
        record::{Kind, parse},
    },
};

/// Arguments of `list`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct List {
    #[bpaf(external(common))]
    common: Common,

    #[bpaf(external(kind), optional)]
    kind: Option<Kind>,
}

impl List {
    /// Lists the records of one kind, or of all kinds if none is given.
    pub(crate) fn run(&self) -> Result<(), Report<Failure>> {
        let kinds: Vec<String> = match self.kind {
            Some(kind) => vec![kind.to_string()],
            None => Kind::WRITTEN_BY_OPERATORS
                .iter()
                .map(Kind::to_string)
                .collect(),
        };
        let kinds: Vec<&str> = kinds.iter().map(String::as_str).collect();
        let list = self
            .common
            .platform()
            .list(&kinds)
            .map_err(|e| Failure::from_platform_error(&e))?;
        let mut table = Table::new(&["KIND", "NAME", "VERSION", "RECORD"]);
        for object in &list.objects {
            table.row(vec![
                object.key.kind.clone(),
                object.key.name.clone(),
                object.version.to_string(),
                summary(object),
            ]);
        }
        self.common.output().print(&list.objects, &table.text());
        Ok(())
    }
}

/// Returns a record on one line, followed by the error if it is not valid.
fn summary(object: &Object) -> String {
    let body = object.body.to_string();
    match Kind::from_name(&object.key.kind).map(|kind| parse(kind, &object.body)) {
        Some(Err(error)) => format!("{body} REFUSED: {error}"),
        _ => body,
    }
}
