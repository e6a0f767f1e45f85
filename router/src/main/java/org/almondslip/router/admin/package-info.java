/** HTTP interface of the operators. */
package org.almondslip.router.admin;
