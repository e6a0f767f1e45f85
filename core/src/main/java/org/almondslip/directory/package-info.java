/** Routes, organisations and targets as the operator and the targets declare them. */
package org.almondslip.directory;
