/** Load and experiment tool. */
package org.almondslip.bench;
