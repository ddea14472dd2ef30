//! Reads TOML files and reports all their problems at once, by line and field.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::Path;
use std::sync::Arc;

use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use crate::problem::Finding;
use crate::problem::Problem;
use crate::problem::Problems;

const ADDRESS_HELP: &str = "give an IP address and a port, for example \"10.0.0.7:7100\"";

/// Returns the text of a file, or the reason why it can't be read as a problem of the file.
pub fn read_file(file: &Path) -> Result<String, Problems> {
    std::fs::read_to_string(file).map_err(|error| {
        Problems(vec![Problem {
            file: file.display().to_string(),
            line: 1,
            path: String::new(),
            message: format!("can't be read: {error}"),
        }])
    })
}

/// Collects the problems of one file, and the line of each field so that problems can be located.
pub struct Diagnostics<'i> {
    file: String,
    text: &'i str,
    lines: BTreeMap<String, usize>,
    problems: Vec<Problem>,
}

impl<'i> Diagnostics<'i> {
    /// Returns diagnostics without problems for a file with the given text.
    pub fn new(file: &str, text: &'i str) -> Self {
        Self {
            file: file.to_owned(),
            text,
            lines: BTreeMap::new(),
            problems: Vec::new(),
        }
    }

    /// Parses the text. Reports syntax errors and returns the part that could be parsed.
    pub fn parse(&mut self) -> Spanned<DeTable<'i>> {
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for error in errors {
            let line = self.line_at(error.span().unwrap_or(0..0));
            self.push(line, "", format!("not valid TOML: {}", error.message()));
        }
        table
    }

    /// Adds a finding at the line of its field, or of the nearest enclosing table with a known line.
    pub fn add(&mut self, finding: Finding) {
        let mut path = finding.path.as_str();
        let line = loop {
            if let Some(line) = self.lines.get(path) {
                break *line;
            }
            match path.rfind(['.', '[']) {
                Some(end) => path = &path[..end],
                None => break 1,
            }
        };
        self.push(line, &finding.path, finding.message);
    }

    /// Returns whether no problem was found so far.
    pub fn is_clean(&self) -> bool {
        self.problems.is_empty()
    }

    /// Returns `value` if there are no problems, otherwise all problems in order of lines.
    pub fn finish<T>(mut self, value: T) -> Result<T, Problems> {
        if self.problems.is_empty() {
            return Ok(value);
        }
        self.problems.sort_by_key(|problem| problem.line);
        Err(Problems(self.problems))
    }

    fn record_line(&mut self, path: &str, span: Range<usize>) {
        let line = self.line_at(span);
        self.lines.insert(path.to_owned(), line);
    }

    fn line_at(&self, span: Range<usize>) -> usize {
        let end = span.start.min(self.text.len());
        1 + self.text.as_bytes()[..end]
            .iter()
            .filter(|byte| **byte == b'\n')
            .count()
    }

    fn push(&mut self, line: usize, path: &str, message: String) {
        self.problems.push(Problem {
            file: self.file.clone(),
            line,
            path: path.to_owned(),
            message,
        });
    }
}

/// Reads the fields of one table. Each read records its field as known, so that
/// [`TableReader::finish`] can report the others.
pub struct TableReader<'t, 'i> {
    path: String,
    table: Option<&'t DeTable<'i>>,
    known: Vec<&'static str>,
}

impl<'t, 'i> TableReader<'t, 'i> {
    /// Returns a reader of the top-level table of a file.
    pub fn root(table: &'t DeTable<'i>) -> Self {
        Self {
            path: String::new(),
            table: Some(table),
            known: Vec::new(),
        }
    }

    /// Returns a reader of a value that must be a table, and reports a value of another type.
    pub fn open(
        path: &str,
        value: &'t Spanned<DeValue<'i>>,
        diagnostics: &mut Diagnostics<'_>,
    ) -> Self {
        diagnostics.record_line(path, value.span());
        let table = value.get_ref().as_table();
        if table.is_none() {
            diagnostics.add(wrong_type(path, "a table", value));
        }
        Self {
            path: path.to_owned(),
            table,
            known: Vec::new(),
        }
    }

    /// Returns the path of a field of this table.
    pub fn path_of(&self, field: &str) -> String {
        if self.path.is_empty() {
            field.to_owned()
        } else {
            format!("{}.{field}", self.path)
        }
    }

    /// Returns whether the table has the field.
    pub fn has(&self, field: &str) -> bool {
        self.table.is_some_and(|table| table.contains_key(field))
    }

    /// Returns a reader of a table inside this one. A missing table is read as one without fields.
    pub fn table(&mut self, field: &'static str, diagnostics: &mut Diagnostics<'_>) -> Self {
        let path = self.path_of(field);
        match self.value(field, diagnostics) {
            Some(value) => Self::open(&path, value, diagnostics),
            None => Self {
                path,
                table: None,
                known: Vec::new(),
            },
        }
    }

    /// Returns the names in a table inside this one, each with a reader of its table.
    pub fn entries(
        &mut self,
        field: &'static str,
        diagnostics: &mut Diagnostics<'_>,
    ) -> Vec<(Arc<str>, Self)> {
        let table = self.table(field, diagnostics);
        let Some(entries) = table.table else {
            return Vec::new();
        };
        let mut readers = Vec::new();
        for (name, value) in entries {
            let path = table.path_of(name.get_ref());
            let fields = Self::open(&path, value, diagnostics);
            diagnostics.record_line(&path, name.span());
            readers.push((Arc::from(name.get_ref().as_ref()), fields));
        }
        readers
    }

    /// Returns a reader for each table of an array of tables.
    pub fn tables(&mut self, field: &'static str, diagnostics: &mut Diagnostics<'_>) -> Vec<Self> {
        let path = self.path_of(field);
        let Some(value) = self.value(field, diagnostics) else {
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            diagnostics.add(wrong_type(&path, &format!("tables `[[{field}]]`"), value));
            return Vec::new();
        };
        items
            .iter()
            .enumerate()
            .map(|(index, item)| Self::open(&format!("{path}[{index}]"), item, diagnostics))
            .collect()
    }

    /// Returns the text of a field, or `None` if the field is missing or of another type.
    pub fn text(
        &mut self,
        field: &'static str,
        diagnostics: &mut Diagnostics<'_>,
    ) -> Option<Arc<str>> {
        let path = self.path_of(field);
        let value = self.value(field, diagnostics)?;
        let text = value.get_ref().as_str().map(Arc::from);
        if text.is_none() {
            diagnostics.add(wrong_type(&path, "a text in quotes", value));
        }
        text
    }

    /// Returns the list of texts of a field, empty if the field is missing or of another type.
    pub fn texts(
        &mut self,
        field: &'static str,
        diagnostics: &mut Diagnostics<'_>,
    ) -> Vec<Arc<str>> {
        let path = self.path_of(field);
        let Some(value) = self.value(field, diagnostics) else {
            return Vec::new();
        };
        let texts: Option<Vec<Arc<str>>> = value.get_ref().as_array().and_then(|items| {
            items
                .iter()
                .map(|item| item.get_ref().as_str().map(Arc::from))
                .collect()
        });
        texts.unwrap_or_else(|| {
            diagnostics.add(wrong_type(&path, "a list of texts, [\"...\"]", value));
            Vec::new()
        })
    }

    /// Returns the integer of a field, or `None` if the field is missing or of another type.
    pub fn integer(
        &mut self,
        field: &'static str,
        diagnostics: &mut Diagnostics<'_>,
    ) -> Option<i64> {
        let path = self.path_of(field);
        let value = self.value(field, diagnostics)?;
        let integer = value
            .get_ref()
            .as_integer()
            .and_then(|digits| i64::from_str_radix(digits.as_str(), digits.radix()).ok());
        if integer.is_none() {
            diagnostics.add(wrong_type(&path, "a whole number", value));
        }
        integer
    }

    /// Returns the integer or decimal number of a field, or `None` if the field is missing or of
    /// another type.
    pub fn number(
        &mut self,
        field: &'static str,
        diagnostics: &mut Diagnostics<'_>,
    ) -> Option<f64> {
        let path = self.path_of(field);
        let value = self.value(field, diagnostics)?;
        let number = match value.get_ref() {
            DeValue::Integer(digits) => digits.as_str().parse().ok(),
            DeValue::Float(digits) => digits.as_str().parse().ok(),
            _ => None,
        };
        if number.is_none() {
            diagnostics.add(wrong_type(&path, "a number", value));
        }
        number
    }

    /// Returns the boolean of a field, or `None` if the field is missing or of another type.
    pub fn flag(&mut self, field: &'static str, diagnostics: &mut Diagnostics<'_>) -> Option<bool> {
        let path = self.path_of(field);
        let value = self.value(field, diagnostics)?;
        let flag = value.get_ref().as_bool();
        if flag.is_none() {
            diagnostics.add(wrong_type(&path, "true or false", value));
        }
        flag
    }

    /// Returns the address and port of a field, and reports a missing field.
    pub fn address(
        &mut self,
        field: &'static str,
        diagnostics: &mut Diagnostics<'_>,
    ) -> Option<SocketAddr> {
        self.require(field, ADDRESS_HELP, diagnostics);
        self.optional_address(field, diagnostics)
    }

    /// Returns the address and port of a field, or `None` if the field is missing or not valid.
    pub fn optional_address(
        &mut self,
        field: &'static str,
        diagnostics: &mut Diagnostics<'_>,
    ) -> Option<SocketAddr> {
        let text = self.text(field, diagnostics)?;
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 => Some(address),
            _ => {
                let message = format!("{text:?} is no address: {ADDRESS_HELP}");
                diagnostics.add(Finding::new(self.path_of(field), message));
                None
            }
        }
    }

    /// Reports a field as missing, together with what is expected, unless the table has it.
    pub fn require(&self, field: &'static str, expected: &str, diagnostics: &mut Diagnostics<'_>) {
        if !self.has(field) {
            diagnostics.add(Finding::new(
                self.path_of(field),
                format!("is missing: {expected}"),
            ));
        }
    }

    /// Reports the fields of the table that are not known.
    pub fn finish(self, diagnostics: &mut Diagnostics<'_>) {
        let Some(table) = self.table else {
            return;
        };
        for (name, _) in table {
            let field = name.get_ref().as_ref();
            if !self.known.contains(&field) {
                let path = self.path_of(field);
                diagnostics.record_line(&path, name.span());
                let known = self.known.join(", ");
                diagnostics.add(Finding::new(
                    path,
                    format!("unknown field; known here: {known}"),
                ));
            }
        }
    }

    /// Records a field as known and returns its value, of whatever type.
    pub fn value(
        &mut self,
        field: &'static str,
        diagnostics: &mut Diagnostics<'_>,
    ) -> Option<&'t Spanned<DeValue<'i>>> {
        self.known.push(field);
        let value = self.table?.get(field)?;
        diagnostics.record_line(&self.path_of(field), value.span());
        Some(value)
    }
}

fn wrong_type(path: &str, expected: &str, value: &Spanned<DeValue<'_>>) -> Finding {
    let actual = value.get_ref().type_str();
    Finding::new(
        path,
        format!("must be {expected}, not a value of type {actual}"),
    )
}
