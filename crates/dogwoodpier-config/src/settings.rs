//! Reads the settings files of programs and reports all problems of a file at once.

use std::path::Path;

use crate::problem::Problems;
use crate::reader;
use crate::reader::Diagnostics;
use crate::reader::TableReader;

/// Loads settings from a file with `parse`, or returns all their problems.
pub fn load<T, P>(file: &Path, parse: P) -> Result<T, Problems>
where
    P: FnOnce(&str, &str) -> Result<T, Problems>,
{
    let text = reader::read_file(file)?;
    parse(&file.display().to_string(), &text)
}

/// Parses settings: `read` reads each field. If there are no problems so far, `check` validates the
/// fields against each other. `file` names the text in messages.
///
/// # Panics
///
/// Panics if `read` returns `None` without reporting a problem.
pub fn parse<T, R, C>(file: &str, text: &str, read: R, check: C) -> Result<T, Problems>
where
    R: FnOnce(TableReader<'_, '_>, &mut Diagnostics<'_>) -> Option<T>,
    C: FnOnce(&T, &mut Diagnostics<'_>),
{
    let mut diagnostics = Diagnostics::new(file, text);
    let table = diagnostics.parse();
    let settings = read(TableReader::root(table.get_ref()), &mut diagnostics);
    if diagnostics.is_clean()
        && let Some(settings) = &settings
    {
        check(settings, &mut diagnostics);
    }
    diagnostics
        .finish(())
        .map(|()| settings.expect("`read` returns the settings or reports a problem"))
}
