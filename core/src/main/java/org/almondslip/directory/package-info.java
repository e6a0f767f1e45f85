/** Routes, services and organisations configured by the operator, and targets that register. */
package org.almondslip.directory;
