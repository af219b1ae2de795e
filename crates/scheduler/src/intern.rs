//! Interning: names are mapped to dense indices where they enter the process; the scheduler uses only the indices.

use std::collections::HashMap;
use std::marker::PhantomData;
use std::sync::Arc;

/// A dense index: the position of an entry in its list.
pub trait DenseIndex: Copy {
    /// Returns the index of a position.
    fn new(i: usize) -> Self;
    /// Returns the position.
    fn as_usize(self) -> usize;
}

macro_rules! index {
    ($($(#[$m:meta])* $name:ident;)*) => {$(
        $(#[$m])*
        #[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
        pub struct $name(u32);
        impl DenseIndex for $name {
            fn new(i: usize) -> Self { $name(u32::try_from(i).unwrap_or(u32::MAX)) }
            fn as_usize(self) -> usize { self.0 as usize }
        }
    )*};
}

index! {
    /// The index of a job.
    JobIndex;
    /// The index of a machine.
    MachineIndex;
    /// The index of a team.
    TeamIndex;
    /// The index of a zone.
    ZoneIndex;
    /// The index of a machine type.
    TypeIndex;
    /// The index of an image.
    ImageIndex;
    /// The index of a machine group.
    MachineGroupIndex;
}

/// Values per page. A page whose values are all removed is freed.
const PAGE_SIZE: usize = 128;

/// A table by index. Indices aren't reused, so that an outdated index finds nothing instead of another value. The
/// memory of removed values is freed page by page.
#[derive(Debug)]
pub struct PagedTable<I, T> {
    pages: Vec<Option<Box<[Option<T>]>>>,
    /// The index of the next value.
    next: usize,
    /// The number of values in the table.
    len: usize,
    index_type: PhantomData<I>,
}

impl<I, T> Default for PagedTable<I, T> {
    fn default() -> Self {
        PagedTable { pages: Vec::new(), next: 0, len: 0, index_type: PhantomData }
    }
}

impl<I: DenseIndex, T> PagedTable<I, T> {
    /// Returns the index that the next value will get.
    pub fn next(&self) -> I {
        I::new(self.next)
    }

    /// Adds a value and returns its index.
    pub fn push(&mut self, value: T) -> I {
        let i = self.next;
        if i / PAGE_SIZE >= self.pages.len() {
            self.pages.push(Some((0..PAGE_SIZE).map(|_| None).collect()));
        }
        if let Some(slot) = self.pages[i / PAGE_SIZE].as_mut().and_then(|p| p.get_mut(i % PAGE_SIZE)) {
            *slot = Some(value);
        }
        self.next += 1;
        self.len += 1;
        I::new(i)
    }

    /// Returns the value of an index, unless it was removed.
    pub fn get(&self, i: I) -> Option<&T> {
        self.pages.get(i.as_usize() / PAGE_SIZE)?.as_ref()?[i.as_usize() % PAGE_SIZE].as_ref()
    }

    /// Returns the value of an index mutably, unless it was removed.
    pub fn get_mut(&mut self, i: I) -> Option<&mut T> {
        self.pages.get_mut(i.as_usize() / PAGE_SIZE)?.as_mut()?[i.as_usize() % PAGE_SIZE].as_mut()
    }

    /// Removes and returns the value of an index.
    pub fn remove(&mut self, i: I) -> Option<T> {
        let page = self.pages.get_mut(i.as_usize() / PAGE_SIZE)?;
        let value = page.as_mut()?[i.as_usize() % PAGE_SIZE].take()?;
        self.len -= 1;
        // The last page is kept, since it is still being filled.
        let is_full = (i.as_usize() / PAGE_SIZE + 1) * PAGE_SIZE <= self.next;
        if is_full && page.as_ref().is_some_and(|p| p.iter().all(Option::is_none)) {
            *page = None;
        }
        Some(value)
    }

    /// Returns the number of values in the table.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the table has no values.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Iterates over the values with their indices, in the order of the indices.
    pub fn iter(&self) -> impl Iterator<Item = (I, &T)> {
        self.pages.iter().enumerate().filter_map(|(number, page)| Some((number, page.as_ref()?))).flat_map(
            |(number, page)| {
                let values = page.iter().enumerate();
                values.filter_map(move |(i, value)| Some((I::new(number * PAGE_SIZE + i), value.as_ref()?)))
            },
        )
    }
}

/// Panics if the value of the index was removed.
impl<I: DenseIndex, T> std::ops::Index<usize> for PagedTable<I, T> {
    type Output = T;
    fn index(&self, i: usize) -> &T {
        match self.get(I::new(i)) {
            Some(v) => v,
            None => panic!("the value of index {i} was removed"),
        }
    }
}

/// Panics if the value of the index was removed.
impl<I: DenseIndex, T> std::ops::IndexMut<usize> for PagedTable<I, T> {
    fn index_mut(&mut self, i: usize) -> &mut T {
        match self.get_mut(I::new(i)) {
            Some(v) => v,
            None => panic!("the value of index {i} was removed"),
        }
    }
}

/// A two-way table of names and their indices.
#[derive(Debug)]
pub struct Names<I> {
    names: PagedTable<I, Arc<str>>,
    by_name: HashMap<Arc<str>, I>,
}

impl<I> Default for Names<I> {
    fn default() -> Self {
        Names { names: PagedTable::default(), by_name: HashMap::new() }
    }
}

impl<I: DenseIndex> Names<I> {
    /// Returns the index of a name that is in the table.
    pub fn find(&self, name: &str) -> Option<I> {
        self.by_name.get(name).copied()
    }

    /// Returns the index of a name, and adds the name if it isn't in the table.
    pub fn intern(&mut self, name: &str) -> I {
        if let Some(i) = self.find(name) {
            return i;
        }
        let shared: Arc<str> = name.into();
        let i = self.names.push(shared.clone());
        self.by_name.insert(shared, i);
        i
    }

    /// Returns the name of an index; panics if it was released.
    pub fn name(&self, i: I) -> &Arc<str> {
        &self.names[i.as_usize()]
    }

    /// Removes the name of an index that is no longer used.
    pub fn release(&mut self, i: I) {
        if let Some(name) = self.names.remove(i) {
            self.by_name.remove(&name);
        }
    }

    /// Iterates over the indices of all names in the table.
    pub fn indices(&self) -> impl Iterator<Item = I> {
        self.names.iter().map(|(i, _)| i)
    }

    /// Returns the number of names in the table.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether the table has no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The memory of released names must be freed, and an index must never refer to another name.
    #[test]
    fn released_names_are_freed_and_their_indices_not_reused() {
        let mut names: Names<ImageIndex> = Names::default();
        let kept = names.intern("kept");
        for i in 0..10 * PAGE_SIZE {
            let index = names.intern(&format!("image-{i}"));
            assert_eq!(index.as_usize(), i + 1);
            names.release(index);
        }
        assert_eq!((names.len(), names.find("kept")), (1, Some(kept)));
        let pages = names.names.pages.iter().filter(|p| p.is_some()).count();
        assert!(pages <= 2, "{pages} pages are allocated for one name");
        assert!(names.intern("image-0").as_usize() > 10 * PAGE_SIZE);
        assert_eq!(names.names.get(ImageIndex::new(5)), None);
    }
}
