/** Workers, each of which runs tasks on a single thread that owns the state the tasks share. */
package org.plantainshunt.duty;
