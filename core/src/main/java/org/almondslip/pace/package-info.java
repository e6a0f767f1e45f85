/** Pace of targets: permits for cold targets, and windows for targets that have just started. */
package org.almondslip.pace;
