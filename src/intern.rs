//! Names become dense indices at the door; inside, only indices are used.

use std::collections::HashMap;
use std::marker::PhantomData;
use std::sync::Arc;

/// An index type made by [`index!`].
pub trait Index: Copy {
    fn new(i: usize) -> Self;
    fn ix(self) -> usize;
}

macro_rules! index {
    ($($(#[$m:meta])* $name:ident;)*) => {$(
        $(#[$m])*
        #[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
        pub struct $name(u32);
        impl Index for $name {
            fn new(i: usize) -> Self { $name(u32::try_from(i).unwrap_or(u32::MAX)) }
            fn ix(self) -> usize { self.0 as usize }
        }
    )*};
}

index! {
    JobIx;
    MachineIx;
    TeamIx;
    ZoneIx;
    TypeIx;
    ImageIx;
    RackIx;
}

/// A table of names, each with its index.
#[derive(Debug)]
pub struct Names<I> {
    names: Vec<Arc<str>>,
    by_name: HashMap<Arc<str>, u32>,
    of: PhantomData<I>,
}

impl<I> Default for Names<I> {
    fn default() -> Self {
        Names { names: Vec::new(), by_name: HashMap::new(), of: PhantomData }
    }
}

impl<I: Index> Names<I> {
    pub fn find(&self, name: &str) -> Option<I> {
        self.by_name.get(name).map(|&i| I::new(i as usize))
    }

    pub fn intern(&mut self, name: &str) -> I {
        if let Some(i) = self.find(name) {
            return i;
        }
        let shared: Arc<str> = name.into();
        let i = self.names.len();
        self.names.push(shared.clone());
        self.by_name.insert(shared, i as u32);
        I::new(i)
    }

    pub fn name(&self, i: I) -> &Arc<str> {
        &self.names[i.ix()]
    }

    pub fn len(&self) -> usize {
        self.names.len()
    }

    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
