/**
 * Replicated catalog of organisations, shares, targets and API keys, and the tickets that change
 * it.
 */
package org.almondslip.catalog;
