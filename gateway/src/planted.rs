//! A fault that an exploration plants, to show that it would find it. Without the feature `faults` there is none.

/// One fault, or none.
#[derive(Clone, Debug)]
pub(crate) struct Planted<F> {
    #[cfg(feature = "faults")]
    fault: Option<F>,
    #[cfg(not(feature = "faults"))]
    none: std::marker::PhantomData<F>,
}

impl<F> Default for Planted<F> {
    fn default() -> Self {
        Planted {
            #[cfg(feature = "faults")]
            fault: None,
            #[cfg(not(feature = "faults"))]
            none: std::marker::PhantomData,
        }
    }
}

impl<F: PartialEq> Planted<F> {
    #[cfg(feature = "faults")]
    pub fn set(&mut self, fault: Option<F>) {
        self.fault = fault;
    }

    #[cfg(feature = "faults")]
    pub fn is(&self, fault: &F) -> bool {
        self.fault.as_ref() == Some(fault)
    }

    #[cfg(not(feature = "faults"))]
    #[expect(clippy::unused_self, reason = "it is used where faults can be planted")]
    pub fn is(&self, _: &F) -> bool {
        false
    }
}
