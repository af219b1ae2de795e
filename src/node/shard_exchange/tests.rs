//! Golden keys of what cells tell each other: another version must find them under the same names.

use super::*;

#[test]
fn keys_of_the_exchange_between_cells() {
    assert_eq!(CELLS_PREFIX, "cells/");
    assert_eq!(LEDGER_KEY, "cells/escrow");
    assert_eq!(PICTURES, "cells/pic/");
    assert_eq!(ORDERS_KEY, "cells/orders");
    assert_eq!(PRESENT_PREFIX, "own/node/");
    assert_eq!(CELL_CLAIMS, "own/c/");
}
