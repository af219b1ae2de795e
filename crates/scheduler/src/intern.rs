//! Names are mapped to dense indices where they enter the process; inside, only indices are used.

use std::collections::HashMap;
use std::marker::PhantomData;
use std::sync::Arc;

/// A dense index: the position of an entry in its list.
pub trait DenseIndex: Copy {
    fn new(i: usize) -> Self;
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
    JobIndex;
    MachineIndex;
    TeamIndex;
    ZoneIndex;
    TypeIndex;
    ImageIndex;
    MachineGroupIndex;
}

/// Values so many to a page; a page whose values are all gone is given back.
const PAGE: usize = 128;

/// A table by index. An index is never used again, so that a late one finds nothing rather
/// than another's value; what was removed gives its memory back page by page.
#[derive(Debug)]
pub struct PagedTable<I, T> {
    pages: Vec<Option<Box<[Option<T>]>>>,
    next: usize,
    held: usize,
    of: PhantomData<I>,
}

impl<I, T> Default for PagedTable<I, T> {
    fn default() -> Self {
        PagedTable { pages: Vec::new(), next: 0, held: 0, of: PhantomData }
    }
}

impl<I: DenseIndex, T> PagedTable<I, T> {
    /// The index that the next value gets.
    pub fn next(&self) -> I {
        I::new(self.next)
    }

    pub fn push(&mut self, v: T) -> I {
        let i = self.next;
        if i / PAGE >= self.pages.len() {
            self.pages.push(Some((0..PAGE).map(|_| None).collect()));
        }
        if let Some(slot) = self.pages[i / PAGE].as_mut().and_then(|p| p.get_mut(i % PAGE)) {
            *slot = Some(v);
        }
        self.next += 1;
        self.held += 1;
        I::new(i)
    }

    pub fn get(&self, i: I) -> Option<&T> {
        self.pages.get(i.as_usize() / PAGE)?.as_ref()?[i.as_usize() % PAGE].as_ref()
    }

    pub fn get_mut(&mut self, i: I) -> Option<&mut T> {
        self.pages.get_mut(i.as_usize() / PAGE)?.as_mut()?[i.as_usize() % PAGE].as_mut()
    }

    pub fn remove(&mut self, i: I) -> Option<T> {
        let page = self.pages.get_mut(i.as_usize() / PAGE)?;
        let v = page.as_mut()?[i.as_usize() % PAGE].take()?;
        self.held -= 1;
        // The last page is still being filled.
        let full = (i.as_usize() / PAGE + 1) * PAGE <= self.next;
        if full && page.as_ref().is_some_and(|p| p.iter().all(Option::is_none)) {
            *page = None;
        }
        Some(v)
    }

    /// Values held.
    pub fn len(&self) -> usize {
        self.held
    }

    pub fn is_empty(&self) -> bool {
        self.held == 0
    }

    pub fn iter(&self) -> impl Iterator<Item = (I, &T)> {
        self.pages
            .iter()
            .enumerate()
            .filter_map(|(n, p)| Some((n, p.as_ref()?)))
            .flat_map(|(n, p)| p.iter().enumerate().filter_map(move |(i, v)| Some((I::new(n * PAGE + i), v.as_ref()?))))
    }
}

/// Whoever holds an index of a value that is held.
impl<I: DenseIndex, T> std::ops::Index<usize> for PagedTable<I, T> {
    type Output = T;
    fn index(&self, i: usize) -> &T {
        match self.get(I::new(i)) {
            Some(v) => v,
            None => panic!("number {i} was given back"),
        }
    }
}

impl<I: DenseIndex, T> std::ops::IndexMut<usize> for PagedTable<I, T> {
    fn index_mut(&mut self, i: usize) -> &mut T {
        match self.get_mut(I::new(i)) {
            Some(v) => v,
            None => panic!("number {i} was given back"),
        }
    }
}

/// A table of names, each with its index.
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
    pub fn find(&self, name: &str) -> Option<I> {
        self.by_name.get(name).copied()
    }

    pub fn intern(&mut self, name: &str) -> I {
        if let Some(i) = self.find(name) {
            return i;
        }
        let shared: Arc<str> = name.into();
        let i = self.names.push(shared.clone());
        self.by_name.insert(shared, i);
        i
    }

    pub fn name(&self, i: I) -> &Arc<str> {
        &self.names[i.as_usize()]
    }

    /// Nobody holds this index any more.
    pub fn release(&mut self, i: I) {
        if let Some(name) = self.names.remove(i) {
            self.by_name.remove(&name);
        }
    }

    /// Every name that is held.
    pub fn indices(&self) -> impl Iterator<Item = I> {
        self.names.iter().map(|(i, _)| i)
    }

    pub fn len(&self) -> usize {
        self.names.len()
    }

    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against tables that grow with all that ever was, and against an index that comes
    /// to mean another name.
    #[test]
    fn names_are_given_back_and_their_indices_never_used_again() {
        let mut names: Names<ImageIndex> = Names::default();
        let kept = names.intern("kept");
        for i in 0..10 * PAGE {
            let ix = names.intern(&format!("image-{i}"));
            assert_eq!(ix.as_usize(), i + 1);
            names.release(ix);
        }
        assert_eq!((names.len(), names.find("kept")), (1, Some(kept)));
        let pages = names.names.pages.iter().filter(|p| p.is_some()).count();
        assert!(pages <= 2, "{pages} pages are held for one name");
        assert!(names.intern("image-0").as_usize() > 10 * PAGE);
        assert_eq!(names.names.get(ImageIndex::new(5)), None);
    }
}
