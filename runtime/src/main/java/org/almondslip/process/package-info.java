/** Start and planned stop of a process. */
package org.almondslip.process;
