//! Runtime of the instances that an entry host owns.
