/** Error codes, exceptions, and findings with their location in the input. */
package org.almondslip.error;
