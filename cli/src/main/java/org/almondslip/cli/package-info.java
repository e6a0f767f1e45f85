/** Command line of the operators. */
package org.almondslip.cli;
