/** YAML settings that are checked as a whole before a process starts. */
package org.almondslip.settings;
