/** Organisations, shares, targets and keys, and the tickets that change them. */
package org.almondslip.catalog;
