/** YAML settings that are validated completely before a process starts. */
package org.almondslip.settings;
