/** Error codes, exceptions, and findings with their place. */
package org.almondslip.error;
