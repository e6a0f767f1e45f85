/** Command line for operators. */
package org.almondslip.cli;
