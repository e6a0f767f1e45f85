/** Selection of the target that serves a request, by load and cached prompt segments. */
package org.almondslip.placement;
