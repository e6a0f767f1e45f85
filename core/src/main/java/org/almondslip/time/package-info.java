/** Clock abstraction, in milliseconds. */
package org.almondslip.time;
